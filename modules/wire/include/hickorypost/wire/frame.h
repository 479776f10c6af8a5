#pragma once
/// Framing of messages on a byte stream. Performs no I/O.
///
/// A frame consists of a 4-byte big-endian length, which counts the bytes after it, a 2-byte
/// big-endian message type and the encoded message.

#include "hickorypost/base/result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hickorypost::wire {

/// Framing error. The stream cannot be resynchronized, so the connection must be closed.
enum class frame_error { too_large, too_short };

inline constexpr std::size_t frame_header_bytes = 6;
/// Maximum length of a frame after its length field. Bounds the memory that one peer can occupy.
inline constexpr std::size_t default_max_frame_bytes = std::size_t{16} << 20U;

struct frame {
    std::uint16_t type = 0;
    std::string body;
};

/// Appends one frame to `out`.
void append_frame(std::string& out, std::uint16_t type, std::string_view body);

/// Splits a byte stream into frames.
class frame_reader {
public:
    explicit frame_reader(std::size_t max_frame_bytes = default_max_frame_bytes) noexcept;

    /// Appends bytes received from the stream.
    void push(std::string_view bytes);

    /// Returns the next complete frame, or nothing if more bytes are needed. Fails with
    /// `frame_error`.
    result<std::optional<frame>> next();

    /// Memory allocated, in bytes.
    [[nodiscard]] std::size_t capacity() const noexcept { return buffer_.capacity(); }

private:
    std::size_t max_frame_bytes_;
    std::string buffer_;
    std::size_t consumed_ = 0;
};

} // namespace hickorypost::wire
