#pragma once
/// Binary codec for typed messages: an aggregate becomes a msgpack array of its fields in order.
///
/// Schema evolution: new fields are only appended. A decoder leaves missing trailing fields at
/// their defaults and skips unknown ones, so that successive releases can exchange messages.

#include "hickorypost/base/result.h"

#include <boost/pfr.hpp>
#include <cstdint>
#include <map>
#include <msgpuck.h>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace hickorypost::wire {

/// Reason why bytes cannot be decoded as a message.
enum class codec_error { malformed, wrong_type };

std::string_view describe(codec_error error) noexcept;

namespace detail {

/// Appends msgpack values to a string.
class writer {
public:
    explicit writer(std::string& out) noexcept : out_{out} {}

    void put_unsigned(std::uint64_t value);
    void put_signed(std::int64_t value);
    void put_bool(bool value);
    void put_double(double value);
    void put_string(std::string_view value);
    void put_nil();
    void begin_array(std::size_t n);

private:
    std::string& out_;
};

/// Reads msgpack values from bytes that `is_single_value` has accepted, and does not check bounds
/// within a value. The `get_` functions return false if the next value has another type or is out
/// of range.
class reader {
public:
    explicit reader(std::string_view bytes) noexcept;

    bool get_unsigned(std::uint64_t& value);
    bool get_signed(std::int64_t& value);
    bool get_bool(bool& value);
    bool get_double(double& value);
    bool get_string(std::string& value);
    bool get_nil();
    bool begin_array(std::uint32_t& n);
    void skip();

private:
    const char* at_;
    const char* end_;
};

template <class T>
struct is_vector : std::false_type {
};
template <class T>
struct is_vector<std::vector<T>> : std::true_type {
};
template <class T>
struct is_optional : std::false_type {
};
template <class T>
struct is_optional<std::optional<T>> : std::true_type {
};
template <class T>
struct is_map : std::false_type {
};
template <class K, class V>
struct is_map<std::map<K, V>> : std::true_type {
};

template <class T>
void write_value(writer& out, const T& value)
{
    if constexpr (std::is_same_v<T, bool>) {
        out.put_bool(value);
    } else if constexpr (std::is_enum_v<T>) {
        out.put_unsigned(static_cast<std::uint64_t>(value));
    } else if constexpr (std::is_floating_point_v<T>) {
        out.put_double(value);
    } else if constexpr (std::is_unsigned_v<T>) {
        out.put_unsigned(value);
    } else if constexpr (std::is_integral_v<T>) {
        out.put_signed(value);
    } else if constexpr (std::is_same_v<T, std::string>) {
        out.put_string(value);
    } else if constexpr (is_optional<T>::value) {
        if (value) {
            write_value(out, *value);
        } else {
            out.put_nil();
        }
    } else if constexpr (is_vector<T>::value) {
        out.begin_array(value.size());
        for (const auto& it : value) {
            write_value(out, it);
        }
    } else if constexpr (is_map<T>::value) {
        out.begin_array(value.size() * 2);
        for (const auto& [key, item] : value) {
            write_value(out, key);
            write_value(out, item);
        }
    } else {
        out.begin_array(boost::pfr::tuple_size_v<T>);
        boost::pfr::for_each_field(value, [&](const auto& field) { write_value(out, field); });
    }
}

template <class T>
bool read_value(reader& in, T& value);

template <class T>
bool read_vector(reader& in, T& value)
{
    std::uint32_t n = 0;
    if (!in.begin_array(n)) {
        return false;
    }
    value.clear();
    for (std::uint32_t it = 0; it < n; ++it) {
        if (!read_value(in, value.emplace_back())) {
            return false;
        }
    }
    return true;
}

template <class T>
bool read_map(reader& in, T& value)
{
    std::uint32_t n = 0;
    if (!in.begin_array(n) || n % 2 != 0) {
        return false;
    }
    value.clear();
    for (std::uint32_t it = 0; it < n; it += 2) {
        typename T::key_type key{};
        if (!read_value(in, key) || !read_value(in, value[key])) {
            return false;
        }
    }
    return true;
}

template <class T>
bool read_aggregate(reader& in, T& value)
{
    std::uint32_t n = 0;
    if (!in.begin_array(n)) {
        return false;
    }
    std::uint32_t fields_read = 0;
    bool ok = true;
    boost::pfr::for_each_field(value, [&](auto& field) {
        if (ok && fields_read < n) {
            ok = read_value(in, field);
            ++fields_read;
        }
    });
    for (; ok && fields_read < n; ++fields_read) {
        in.skip();
    }
    return ok;
}

template <class T>
bool read_value(reader& in, T& value)
{
    if constexpr (std::is_same_v<T, bool>) {
        return in.get_bool(value);
    } else if constexpr (std::is_enum_v<T>) {
        std::uint64_t raw = 0;
        const bool ok = in.get_unsigned(raw);
        value = static_cast<T>(raw);
        return ok;
    } else if constexpr (std::is_floating_point_v<T>) {
        return in.get_double(value);
    } else if constexpr (std::is_unsigned_v<T>) {
        std::uint64_t raw = 0;
        const bool ok = in.get_unsigned(raw);
        value = static_cast<T>(raw);
        return ok && value == raw;
    } else if constexpr (std::is_integral_v<T>) {
        std::int64_t raw = 0;
        const bool ok = in.get_signed(raw);
        value = static_cast<T>(raw);
        return ok && value == raw;
    } else if constexpr (std::is_same_v<T, std::string>) {
        return in.get_string(value);
    } else if constexpr (is_optional<T>::value) {
        if (in.get_nil()) {
            value.reset();
            return true;
        }
        return read_value(in, value.emplace());
    } else if constexpr (is_vector<T>::value) {
        return read_vector(in, value);
    } else if constexpr (is_map<T>::value) {
        return read_map(in, value);
    } else {
        return read_aggregate(in, value);
    }
}

/// Returns true if `bytes` is exactly one well-formed msgpack value.
bool is_single_value(std::string_view bytes) noexcept;

} // namespace detail

/// Appends the encoding of `message` to `out`.
template <class T>
void encode_to(std::string& out, const T& message)
{
    detail::writer to{out};
    detail::write_value(to, message);
}

template <class T>
std::string encode(const T& message)
{
    std::string out;
    encode_to(out, message);
    return out;
}

/// Decodes one message, which must span all of `bytes`. Fails with `codec_error`.
template <class T>
result<T> decode(std::string_view bytes)
{
    // Validates all of `bytes` first, so that a malicious or truncated message cannot make the
    // reader read past the end.
    if (!detail::is_single_value(bytes)) {
        return leaf::new_error(codec_error::malformed);
    }
    detail::reader in{bytes};
    T message{};
    if (!detail::read_value(in, message)) {
        return leaf::new_error(codec_error::wrong_type);
    }
    return message;
}

/// Like `decode`, but returns nothing on an error, for callers that do not need the reason.
template <class T>
std::optional<T> try_decode(std::string_view bytes)
{
    std::optional<T> out;
    if (!detail::is_single_value(bytes)) {
        return out;
    }
    detail::reader in{bytes};
    if (!detail::read_value(in, out.emplace())) {
        out.reset();
    }
    return out;
}

} // namespace hickorypost::wire
