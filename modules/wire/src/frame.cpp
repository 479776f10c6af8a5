#include "hickorypost/wire/frame.h"

#include "hickorypost/base/buffer.h"

#include <array>

namespace hickorypost::wire {

namespace {

constexpr std::size_t type_bytes = 2;
constexpr std::size_t length_bytes = frame_header_bytes - type_bytes;
/// Consumed bytes are dropped from the buffer only above this size, so that small frames do not
/// cause a copy of the remaining bytes each time.
constexpr std::size_t compact_threshold = std::size_t{64} << 10U;

std::uint32_t read_big_endian(std::string_view bytes) noexcept
{
    std::uint32_t value = 0;
    for (const char it : bytes) {
        value = (value << 8U) | static_cast<unsigned char>(it);
    }
    return value;
}

} // namespace

void append_frame(std::string& out, std::uint16_t type, std::string_view body)
{
    const auto length = static_cast<std::uint32_t>(body.size() + type_bytes);
    const std::array<char, frame_header_bytes> header{
        static_cast<char>(length >> 24U), static_cast<char>(length >> 16U),
        static_cast<char>(length >> 8U),  static_cast<char>(length),
        static_cast<char>(type >> 8U),    static_cast<char>(type)};
    out.append(header.data(), header.size());
    out.append(body);
}

frame_reader::frame_reader(std::size_t max_frame_bytes) noexcept : max_frame_bytes_{max_frame_bytes}
{
}

void frame_reader::push(std::string_view bytes)
{
    if (consumed_ > compact_threshold) {
        buffer_.substr(consumed_).swap(buffer_);
        consumed_ = 0;
    }
    buffer_.append(bytes);
}

result<std::optional<frame>> frame_reader::next()
{
    const std::string_view unread = std::string_view{buffer_}.substr(consumed_);
    if (unread.size() < length_bytes) {
        return std::optional<frame>{};
    }
    const std::size_t length = read_big_endian(unread.substr(0, length_bytes));
    if (length > max_frame_bytes_) {
        return leaf::new_error(frame_error::too_large);
    }
    if (length < type_bytes) {
        return leaf::new_error(frame_error::too_short);
    }
    if (unread.size() < length_bytes + length) {
        return std::optional<frame>{};
    }
    frame out;
    out.type = static_cast<std::uint16_t>(read_big_endian(unread.substr(length_bytes, type_bytes)));
    out.body = unread.substr(frame_header_bytes, length - type_bytes);
    consumed_ += length_bytes + length;
    if (consumed_ == buffer_.size()) {
        clear_buffer(buffer_);
        consumed_ = 0;
    }
    return std::optional<frame>{std::move(out)};
}

} // namespace hickorypost::wire
