#pragma once
/// Character classes of HTTP/1.1 (RFC 9110, section 5.6).

#include <string_view>

namespace hickorypost::http1::detail {

/// Control characters other than the horizontal tab, which no field value or line may hold.
constexpr bool is_control(char it) noexcept
{
    constexpr unsigned char first_printable = 0x20;
    constexpr unsigned char del = 0x7F;
    const auto byte = static_cast<unsigned char>(it);
    return (byte < first_printable && it != '\t') || byte == del;
}

constexpr bool is_digit(char it) noexcept
{
    return it >= '0' && it <= '9';
}

/// Characters of field names and methods.
constexpr bool is_token(char it) noexcept
{
    return is_digit(it) || (it >= 'a' && it <= 'z') || (it >= 'A' && it <= 'Z') ||
           std::string_view{"!#$%&'*+-.^_`|~"}.find(it) != std::string_view::npos;
}

constexpr bool is_blank(char it) noexcept
{
    return it == ' ' || it == '\t';
}

} // namespace hickorypost::http1::detail
