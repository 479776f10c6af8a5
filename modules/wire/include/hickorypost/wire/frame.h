#pragma once
/// Framing of messages on a byte stream, without I/O.
///
/// A frame is a 4-byte big-endian length, a 2-byte message type and the encoded message.

#include "hickorypost/base/result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hickorypost::wire {

/// The stream cannot be read further; the connection must be closed.
enum class frame_error { too_large, too_short };

inline constexpr std::size_t frame_header_bytes = 6;
/// Longest frame accepted; bounds what one peer can make us hold.
inline constexpr std::size_t default_max_frame_bytes = std::size_t{16} << 20U;

struct frame {
    std::uint16_t type = 0;
    std::string body;
};

/// Appends one frame to `out`.
void append_frame(std::string& out, std::uint16_t type, std::string_view body);

/// Cuts a byte stream into frames.
class frame_reader {
public:
    explicit frame_reader(std::size_t max_frame_bytes = default_max_frame_bytes) noexcept;

    void push(std::string_view bytes);

    /// The next whole frame, nothing if more bytes are needed; fails with `frame_error`.
    result<std::optional<frame>> next();

private:
    std::size_t max_frame_bytes_;
    std::string buffer_;
    std::size_t consumed_ = 0;
};

} // namespace hickorypost::wire
