#include "hickorypost/http1/message.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/status.hpp>
#include <charconv>
#include <ostream> // Boost's string view needs it whole

namespace hickorypost::http1 {

namespace {

constexpr std::array<std::string_view, 9> hop_by_hop{"Connection",
                                                     "Keep-Alive",
                                                     "Proxy-Connection",
                                                     "Proxy-Authenticate",
                                                     "Proxy-Authorization",
                                                     "TE",
                                                     "Trailer",
                                                     "Transfer-Encoding",
                                                     "Upgrade"};

char lower(char c) noexcept
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

} // namespace

bool equal_fold(std::string_view a, std::string_view b) noexcept
{
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(),
                                              [](char x, char y) { return lower(x) == lower(y); });
}

std::optional<std::string_view> field_list::find(std::string_view name) const
{
    const auto it = std::find_if(fields_.begin(), fields_.end(),
                                 [&](const field& f) { return equal_fold(f.name, name); });
    return it == fields_.end() ? std::nullopt : std::optional<std::string_view>{it->value};
}

std::optional<std::int64_t> field_list::number(std::string_view name) const
{
    const auto text = find(name);
    std::int64_t out = 0;
    if (!text) {
        return std::nullopt;
    }
    const auto [end, ec] = std::from_chars(text->data(), text->data() + text->size(), out);
    return ec == std::errc{} && end == text->data() + text->size() ? std::optional{out}
                                                                   : std::nullopt;
}

void field_list::add(std::string_view name, std::string_view value)
{
    fields_.push_back({std::string{name}, std::string{value}});
}

void field_list::remove(std::string_view name)
{
    std::erase_if(fields_, [&](const field& f) { return equal_fold(f.name, name); });
}

void field_list::remove_hop_by_hop()
{
    std::vector<std::string> named;
    for (const auto& it : fields_) {
        if (!equal_fold(it.name, "Connection")) {
            continue;
        }
        std::string_view rest = it.value;
        while (!rest.empty()) {
            const auto comma = std::min(rest.find(','), rest.size());
            named.emplace_back(trimmed(rest.substr(0, comma)));
            rest.remove_prefix(std::min(comma + 1, rest.size()));
        }
    }
    std::erase_if(fields_, [&](const field& f) {
        const auto matches = [&](std::string_view name) { return equal_fold(f.name, name); };
        return std::any_of(hop_by_hop.begin(), hop_by_hop.end(), matches) ||
               std::any_of(named.begin(), named.end(), matches);
    });
}

std::string_view describe(parse_fault fault) noexcept
{
    switch (fault) {
    case parse_fault::none:
        return "no fault";
    case parse_fault::malformed:
        return "malformed message";
    case parse_fault::head_too_large:
        return "head larger than allowed";
    case parse_fault::body_too_large:
        return "body larger than allowed";
    case parse_fault::cut_short:
        return "message cut short";
    }
    return "unknown fault";
}

std::string_view reason_of(unsigned status) noexcept
{
    return boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
}

namespace {

void append_fields(std::string& out, const field_list& fields)
{
    for (const auto& it : fields) {
        out.append(it.name).append(": ").append(it.value).append("\r\n");
    }
    out.append("\r\n");
}

} // namespace

std::string write_request_head(const request_head& head)
{
    std::string out;
    out.reserve(512); // NOLINT: an ordinary head fits without growing
    out.append(head.method).append(" ").append(head.target).append(" HTTP/1.1\r\n");
    append_fields(out, head.fields);
    return out;
}

std::string write_response_head(const response_head& head)
{
    std::string out;
    out.reserve(512); // NOLINT: an ordinary head fits without growing
    out.append("HTTP/1.1 ").append(std::to_string(head.status)).append(" ");
    out.append(head.reason.empty() ? reason_of(head.status) : std::string_view{head.reason});
    out.append("\r\n");
    append_fields(out, head.fields);
    return out;
}

void append_chunk(std::string& out, std::string_view bytes)
{
    if (bytes.empty()) {
        return; // an empty chunk would end the body
    }
    std::array<char, 16> hex{};
    constexpr int base = 16;
    const auto [end, ec] = std::to_chars(hex.data(), hex.data() + hex.size(), bytes.size(), base);
    out.append(hex.data(), end).append("\r\n").append(bytes).append("\r\n");
}

} // namespace hickorypost::http1
