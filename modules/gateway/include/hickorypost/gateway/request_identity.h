#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hickorypost::gateway {

/// 128-bit hash by which retries of a request are recognized on all hosts: of client account, Host
/// field, method, target and body.
struct request_identity {
    std::uint64_t outline = 0; ///< fast hash of all parts, with only the length of the body
    /// First 64 bits of the SHA-256 of all parts. Cryptographic, so that no caller can craft a
    /// request that is taken for another caller's.
    std::uint64_t digest = 0;

    friend auto operator<=>(const request_identity&, const request_identity&) = default;
    friend bool operator==(const request_identity&, const request_identity&) = default;
};

/// The parts of a request that identify it.
struct identity_parts {
    std::string_view account; ///< empty: the caller is not identified
    std::string_view host;
    std::string_view method;
    std::string_view target;
    std::string_view body;
};

/// Key under which crashes are counted for a part of a prompt, whatever requests contain it. It has
/// the form of a request's identity, so that hosts of earlier releases store and forward it.
request_identity identity_of_part(std::uint64_t part) noexcept;
/// The outline of all parts. No request has it.
inline constexpr std::uint64_t part_outline = 0x70726f6d70742d70;
[[nodiscard]] constexpr bool is_part(const request_identity& it) noexcept
{
    return it.outline == part_outline;
}

/// Does not read the body: a cheap test that rules out most requests.
std::uint64_t outline_of(const identity_parts& parts) noexcept;
request_identity identity_of(const identity_parts& parts);

/// The id of a prompt part as callers write it: lower-case hex digits without leading zeros.
std::string part_text(std::uint64_t id);
/// 32 lower-case hex digits.
std::string to_text(const request_identity& identity);
/// Returns nothing unless `text` consists of 32 hex digits.
std::optional<request_identity> parse_identity(std::string_view text);

struct request_identity_hash {
    std::size_t operator()(const request_identity& it) const noexcept
    {
        return static_cast<std::size_t>(it.digest);
    }
};

} // namespace hickorypost::gateway
