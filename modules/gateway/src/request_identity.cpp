#include "hickorypost/gateway/request_identity.h"

#include "hickorypost/base/ids.h"

#include <array>
#include <charconv>
#include <glib.h>
#include <memory>

namespace hickorypost::gateway {

namespace {

constexpr int hex_base = 16;
constexpr std::size_t digits_per_half = 16;

std::array<std::string_view, 4> outline_fields(const identity_parts& parts)
{
    return {parts.account, parts.host, parts.method, parts.target};
}

void append_hex(std::string& to, std::uint64_t value)
{
    std::array<char, digits_per_half> digits{};
    const auto end =
        std::to_chars(digits.data(), digits.data() + digits.size(), value, hex_base).ptr;
    const auto n = static_cast<std::size_t>(end - digits.data());
    to.append(digits_per_half - n, '0').append(digits.data(), n);
}

std::optional<std::uint64_t> parse_hex(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value, hex_base);
    const bool whole = ec == std::errc{} && end == text.data() + text.size();
    return whole ? std::optional{value} : std::nullopt;
}

} // namespace

request_identity identity_of_part(std::uint64_t part) noexcept
{
    return {part_outline, part};
}

std::uint64_t outline_of(const identity_parts& parts) noexcept
{
    // Each field's hash is seeded with the previous field's and the field's length. Otherwise
    // requests with the same bytes split differently between fields would have the same hash.
    std::uint64_t out = parts.body.size();
    for (const auto field : outline_fields(parts)) {
        out = hash_bytes(field, out + field.size());
    }
    return out;
}

request_identity identity_of(const identity_parts& parts)
{
    const std::unique_ptr<GChecksum, decltype(&g_checksum_free)> sum{
        g_checksum_new(G_CHECKSUM_SHA256), &g_checksum_free};
    const auto add = [&sum](std::string_view text) {
        const std::string size = std::to_string(text.size()) + ":";
        g_checksum_update(sum.get(), reinterpret_cast<const guchar*>(size.data()),
                          static_cast<gssize>(size.size()));
        g_checksum_update(sum.get(), reinterpret_cast<const guchar*>(text.data()),
                          static_cast<gssize>(text.size()));
    };
    for (const auto field : outline_fields(parts)) {
        add(field);
    }
    add(parts.body);
    constexpr gsize sha256_bytes = 32;
    std::array<guint8, sha256_bytes> digest{};
    gsize n = digest.size();
    g_checksum_get_digest(sum.get(), digest.data(), &n);
    request_identity out{outline_of(parts), 0};
    for (std::size_t at = 0; at < sizeof out.digest; ++at) {
        out.digest = (out.digest << 8U) | digest.at(at);
    }
    return out;
}

std::string part_text(std::uint64_t id)
{
    std::array<char, digits_per_half> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), id, hex_base).ptr;
    return {digits.data(), end};
}

std::string to_text(const request_identity& identity)
{
    std::string out;
    append_hex(out, identity.outline);
    append_hex(out, identity.digest);
    return out;
}

std::optional<request_identity> parse_identity(std::string_view text)
{
    if (text.size() != 2 * digits_per_half) {
        return std::nullopt;
    }
    const auto outline = parse_hex(text.substr(0, digits_per_half));
    const auto digest = parse_hex(text.substr(digits_per_half));
    if (!outline || !digest) {
        return std::nullopt;
    }
    return request_identity{*outline, *digest};
}

} // namespace hickorypost::gateway
