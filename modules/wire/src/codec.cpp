#include "hickorypost/wire/codec.h"

#include <array>

namespace hickorypost::wire {

std::string_view describe(codec_error error) noexcept
{
    switch (error) {
    case codec_error::malformed:
        return "bytes are not one well-formed msgpack value";
    case codec_error::wrong_type:
        return "a field has another type than the message declares";
    }
    return "unknown codec error";
}

namespace detail {

namespace {

constexpr std::size_t max_header_bytes = 16;

template <class Encode>
void append_header(std::string& out, Encode encode)
{
    std::array<char, max_header_bytes> buf{};
    const char* end = encode(buf.data());
    out.append(buf.data(), static_cast<std::size_t>(end - buf.data()));
}

} // namespace

void writer::put_unsigned(std::uint64_t value)
{
    append_header(out_, [&](char* at) { return mp_encode_uint(at, value); });
}

void writer::put_signed(std::int64_t value)
{
    append_header(out_, [&](char* at) {
        return value < 0 ? mp_encode_int(at, value)
                         : mp_encode_uint(at, static_cast<std::uint64_t>(value));
    });
}

void writer::put_bool(bool value)
{
    append_header(out_, [&](char* at) { return mp_encode_bool(at, value); });
}

void writer::put_double(double value)
{
    append_header(out_, [&](char* at) { return mp_encode_double(at, value); });
}

void writer::put_string(std::string_view value)
{
    append_header(out_, [&](char* at) {
        return mp_encode_strl(at, static_cast<std::uint32_t>(value.size()));
    });
    out_.append(value);
}

void writer::put_nil()
{
    append_header(out_, [](char* at) { return mp_encode_nil(at); });
}

void writer::begin_array(std::size_t n)
{
    append_header(out_,
                  [&](char* at) { return mp_encode_array(at, static_cast<std::uint32_t>(n)); });
}

reader::reader(std::string_view bytes) noexcept
    : at_{bytes.data()}, end_{bytes.data() + bytes.size()}
{
}

bool reader::get_unsigned(std::uint64_t& value)
{
    if (at_ == end_ || mp_typeof(*at_) != MP_UINT) {
        return false;
    }
    value = mp_decode_uint(&at_);
    return true;
}

bool reader::get_signed(std::int64_t& value)
{
    if (at_ == end_) {
        return false;
    }
    if (mp_typeof(*at_) == MP_INT) {
        value = mp_decode_int(&at_);
        return true;
    }
    std::uint64_t raw = 0;
    if (!get_unsigned(raw) || raw > INT64_MAX) {
        return false;
    }
    value = static_cast<std::int64_t>(raw);
    return true;
}

bool reader::get_bool(bool& value)
{
    if (at_ == end_ || mp_typeof(*at_) != MP_BOOL) {
        return false;
    }
    value = mp_decode_bool(&at_);
    return true;
}

bool reader::get_double(double& value)
{
    if (at_ == end_ || mp_typeof(*at_) != MP_DOUBLE) {
        return false;
    }
    value = mp_decode_double(&at_);
    return true;
}

bool reader::get_string(std::string& value)
{
    if (at_ == end_ || mp_typeof(*at_) != MP_STR) {
        return false;
    }
    std::uint32_t n = 0;
    const char* bytes = mp_decode_str(&at_, &n);
    value.assign(bytes, n);
    return true;
}

bool reader::get_nil()
{
    if (at_ == end_ || mp_typeof(*at_) != MP_NIL) {
        return false;
    }
    mp_decode_nil(&at_);
    return true;
}

bool reader::begin_array(std::uint32_t& n)
{
    if (at_ == end_ || mp_typeof(*at_) != MP_ARRAY) {
        return false;
    }
    n = mp_decode_array(&at_);
    return true;
}

void reader::skip()
{
    if (at_ != end_) {
        mp_next(&at_);
    }
}

bool is_single_value(std::string_view bytes) noexcept
{
    const char* at = bytes.data();
    const char* end = bytes.data() + bytes.size();
    return !bytes.empty() && mp_check(&at, end) == 0 && at == end;
}

} // namespace detail

} // namespace hickorypost::wire
