#pragma once

#include "hickorypost/http1/message.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace hickorypost::http1 {

struct chunk_limits {
    std::uint64_t body_bytes = 0; ///< of all chunks together
    /// Of a chunk's size line, whose size may have any number of leading zeros and whose extensions
    /// have no limit in the standard.
    std::size_t line_bytes = 256;
    std::size_t trailer_bytes = 0; ///< of the whole trailer section
};

/// Decodes a chunked body (RFC 9112, section 7.1). Performs no I/O.
///
/// Accepts the bytes in pieces of any size, reads each byte once, and keeps none of the lines, so
/// that neither their length nor their number costs memory. Extensions and trailer fields are
/// checked and dropped.
class chunk_decoder {
public:
    explicit chunk_decoder(chunk_limits limits) : limits_{limits} {}

    /// Appends the content of `bytes` to `body`. Returns the number of bytes that belong to the
    /// body; it is less than `bytes.size()` only after the end of the body or a fault.
    std::size_t decode(std::string_view bytes, std::string& body);

    [[nodiscard]] bool done() const noexcept { return state_ == state::done; }
    [[nodiscard]] parse_fault fault() const noexcept { return fault_; }

private:
    enum class state : std::uint8_t {
        size,
        after_size, ///< white space before the extensions or the line's end
        extension,
        size_end, ///< CR has been read
        data,
        data_cr,
        data_end,
        trailer_start,
        trailer_name,
        trailer_value,
        trailer_end, ///< of one field; CR has been read
        last_end,    ///< of the body; CR has been read
        done,
    };

    /// Handles the usual lines, a short size or the end of a chunk's data, if `bytes` begins with a
    /// whole one. Returns its length, or 0 if the bytes must be taken one by one.
    std::size_t take_whole_line(std::string_view bytes);
    /// Handles one byte outside of chunk data.
    void take(char byte);
    void take_size_byte(char byte);
    void take_trailer_byte(char byte);
    void end_size_line();
    /// Moves to `next` if `byte` is the expected one; otherwise the body is malformed.
    void expect(char byte, char expected, state next);
    void fail(parse_fault fault) { fault_ = fault; }

    chunk_limits limits_;
    state state_ = state::size;
    parse_fault fault_ = parse_fault::none;
    std::uint64_t size_ = 0; ///< of the current chunk; while in `data`, the bytes that are missing
    std::uint64_t decoded_ = 0; ///< sum of the sizes of all chunks so far
    std::size_t line_bytes_ = 0;
    std::size_t trailer_bytes_ = 0;
    bool has_digit_ = false;
};

} // namespace hickorypost::http1
