#include "hickorypost/http1/chunk_decoder.h"

#include "characters_priv.h"

#include <algorithm>
#include <array>
#include <limits>

namespace hickorypost::http1 {

namespace {

constexpr unsigned bits_per_hex_digit = 4;

/// Value of each character as a hexadecimal digit; `no_digit` for all others.
constexpr std::uint8_t no_digit = 0xFF;
constexpr auto hex_values = [] {
    std::array<std::uint8_t, std::numeric_limits<unsigned char>::max() + 1> out{};
    out.fill(no_digit);
    constexpr std::string_view lower = "0123456789abcdef";
    constexpr std::string_view upper = "0123456789ABCDEF";
    for (std::size_t n = 0; n < lower.size(); ++n) {
        out[static_cast<unsigned char>(lower[n])] = static_cast<std::uint8_t>(n);
        out[static_cast<unsigned char>(upper[n])] = static_cast<std::uint8_t>(n);
    }
    return out;
}();

std::uint8_t hex_value(char it)
{
    return hex_values[static_cast<unsigned char>(it)];
}

} // namespace

std::size_t chunk_decoder::decode(std::string_view bytes, std::string& body)
{
    std::size_t used = 0;
    while (used < bytes.size() && fault_ == parse_fault::none && !done()) {
        if (const std::size_t n = take_whole_line(bytes.substr(used)); n > 0) {
            used += n;
            continue;
        }
        if (state_ != state::data) {
            take(bytes[used]);
            ++used;
            continue;
        }
        const auto n =
            static_cast<std::size_t>(std::min<std::uint64_t>(size_, bytes.size() - used));
        body.append(bytes.substr(used, n));
        used += n;
        size_ -= n;
        if (size_ == 0) {
            state_ = state::data_cr;
        }
    }
    return used;
}

std::size_t chunk_decoder::take_whole_line(std::string_view bytes)
{
    constexpr std::string_view line_break = "\r\n";
    constexpr std::size_t max_digits = 8;
    if (state_ == state::data_cr && bytes.starts_with(line_break)) {
        state_ = state::size;
        return line_break.size();
    }
    if (state_ != state::size || line_bytes_ > 0) {
        return 0;
    }
    std::size_t digits = 0;
    std::uint64_t size = 0;
    while (digits < std::min(bytes.size(), max_digits)) {
        const auto digit = hex_value(bytes[digits]);
        if (digit == no_digit) {
            break;
        }
        size = (size << bits_per_hex_digit) | digit;
        ++digits;
    }
    if (digits == 0 || !bytes.substr(digits).starts_with(line_break)) {
        return 0;
    }
    size_ = size;
    end_size_line();
    return digits + line_break.size();
}

void chunk_decoder::take(char byte)
{
    if (state_ < state::data) {
        take_size_byte(byte);
    } else if (state_ == state::data_cr) {
        expect(byte, '\r', state::data_end);
    } else if (state_ == state::data_end) {
        expect(byte, '\n', state::size);
    } else {
        take_trailer_byte(byte);
    }
}

void chunk_decoder::expect(char byte, char expected, state next)
{
    if (byte == expected) {
        state_ = next;
    } else {
        fail(parse_fault::malformed);
    }
}

void chunk_decoder::take_size_byte(char byte)
{
    if (++line_bytes_ > limits_.line_bytes) {
        return fail(parse_fault::malformed);
    }
    if (state_ == state::size_end) {
        return byte == '\n' ? end_size_line() : fail(parse_fault::malformed);
    }
    if (state_ == state::size) {
        if (const auto digit = hex_value(byte); digit != no_digit) {
            if (size_ > std::numeric_limits<std::uint64_t>::max() >> bits_per_hex_digit) {
                return fail(parse_fault::malformed);
            }
            size_ = (size_ << bits_per_hex_digit) | digit;
            has_digit_ = true;
            return;
        }
    }
    if (!has_digit_) {
        return fail(parse_fault::malformed);
    }
    if (byte == '\r') {
        state_ = state::size_end;
    } else if (state_ == state::extension) {
        if (detail::is_control(byte)) {
            fail(parse_fault::malformed);
        }
    } else if (byte == ';') {
        state_ = state::extension;
    } else if (detail::is_blank(byte)) {
        state_ = state::after_size;
    } else {
        fail(parse_fault::malformed);
    }
}

void chunk_decoder::end_size_line()
{
    line_bytes_ = 0;
    has_digit_ = false;
    if (size_ > limits_.body_bytes - decoded_) {
        return fail(parse_fault::body_too_large);
    }
    decoded_ += size_;
    state_ = size_ > 0 ? state::data : state::trailer_start;
}

void chunk_decoder::take_trailer_byte(char byte)
{
    if (++trailer_bytes_ > limits_.trailer_bytes) {
        return fail(parse_fault::head_too_large);
    }
    switch (state_) {
    case state::trailer_start:
        if (byte == '\r') {
            state_ = state::last_end;
        } else if (detail::is_token(byte)) {
            state_ = state::trailer_name;
        } else {
            fail(parse_fault::malformed);
        }
        return;
    case state::trailer_name:
        if (!detail::is_token(byte)) {
            expect(byte, ':', state::trailer_value);
        }
        return;
    case state::trailer_value:
        if (byte == '\r') {
            state_ = state::trailer_end;
        } else if (detail::is_control(byte)) {
            fail(parse_fault::malformed);
        }
        return;
    case state::trailer_end:
        return expect(byte, '\n', state::trailer_start);
    default:
        return expect(byte, '\n', state::done);
    }
}

} // namespace hickorypost::http1
