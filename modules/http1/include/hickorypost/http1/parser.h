#pragma once

#include "hickorypost/http1/message.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace hickorypost::http1 {

struct parse_limits {
    std::uint32_t head_bytes = 16U << 10U; ///< also of the trailers of a chunked body
    std::uint64_t body_bytes = std::uint64_t{4} << 20U;
};

/// Cuts the bytes of one connection into requests, one after the other. Performs no I/O. Refuses
/// ambiguous framings, which request smuggling needs.
class request_parser {
public:
    explicit request_parser(parse_limits limits);
    ~request_parser();
    request_parser(const request_parser&) = delete;
    request_parser& operator=(const request_parser&) = delete;

    /// Takes bytes and goes on parsing, at most to the end of the current request.
    void push(std::string_view bytes);
    /// Begins with the next request; bytes that came early are kept and parsed.
    void next();
    void set_limits(parse_limits limits) { limits_ = limits; }

    /// Gives the current request up: frees its bytes and ignores those that follow.
    void abandon();

    /// Bytes of a request have come that is not over yet.
    [[nodiscard]] bool begun() const noexcept;
    [[nodiscard]] bool head_done() const noexcept;
    [[nodiscard]] bool done() const noexcept;
    [[nodiscard]] parse_fault fault() const noexcept;
    [[nodiscard]] request_head& head() noexcept;
    [[nodiscard]] std::string& body() noexcept;
    /// Whether all bytes of the request after the current one have been pushed.
    [[nodiscard]] bool has_whole_request_waiting() const;
    /// Bytes that have been pushed and not been parsed yet.
    [[nodiscard]] std::size_t buffered() const noexcept { return buffer_.size(); }
    /// Bytes of the current body that are known to follow; 0 for a body in chunks.
    [[nodiscard]] std::uint64_t missing_bytes() const noexcept;
    /// Memory that the unparsed bytes and the body take. Spare capacity takes none before it is
    /// used.
    [[nodiscard]] std::size_t memory_bytes() const noexcept;

private:
    struct state;

    parse_limits limits_;
    std::string buffer_;
    std::unique_ptr<state> state_;
};

/// Reads the responses of one connection. Sans I/O; the framing is strict: what is not surely a
/// whole response never counts as one.
class response_parser {
public:
    response_parser();
    ~response_parser();
    response_parser(const response_parser&) = delete;
    response_parser& operator=(const response_parser&) = delete;

    /// Begins a response; `bodyless`: it answers HEAD.
    void begin(bool bodyless);
    void push(std::string_view bytes);
    /// The peer closed in good order: ends a response that has no other end.
    void finish();

    [[nodiscard]] bool head_done() const noexcept;
    [[nodiscard]] bool done() const noexcept;
    [[nodiscard]] parse_fault fault() const noexcept;
    [[nodiscard]] response_head& head() noexcept;
    /// The body's bytes since the last call.
    std::string take_body();
    /// Bytes after the response's end: they belong to no request.
    [[nodiscard]] bool has_extra() const noexcept;

private:
    struct state;

    std::string buffer_;
    std::unique_ptr<state> state_;
};

} // namespace hickorypost::http1
