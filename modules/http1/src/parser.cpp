#include "hickorypost/http1/parser.h"

#include "characters_priv.h"
#include "head_scanner.h"
#include "hickorypost/base/buffer.h"
#include "hickorypost/http1/chunk_decoder.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <limits>
#include <utility>

namespace hickorypost::http1 {

namespace {

namespace http = boost::beast::http;
using error_code = boost::beast::error_code;
using view = boost::beast::string_view;

/// Blank lines before a request line. Some callers send one after the body of a request.
constexpr std::size_t max_blank_lines = 8;
constexpr std::string_view blank_line = "\r\n";

/// Of a body whose length is announced.
constexpr std::uint64_t max_reserved_bytes = std::uint64_t{16} << 20U;

/// Of a response's head; replicas send a few hundred bytes.
constexpr std::uint32_t response_head_limit = 32U << 10U;

std::string_view plain(view text)
{
    return {text.data(), text.size()};
}

/// Collects a head that Beast's parser reads. Its body is not parsed by Beast.
template <bool is_request>
class collector final : public http::basic_parser<is_request> {
public:
    request_head request;
    response_head response;

private:
    void on_request_impl(http::verb, view method, view target, int version, error_code&) override
    {
        constexpr int http_1_1 = 11;
        request.method = plain(method);
        request.target = plain(target);
        request.is_http_1_1 = version >= http_1_1;
    }
    void on_response_impl(int status, view reason, int, error_code& ec) override
    {
        // RFC 9110, 15: any other status is invalid.
        constexpr int first_status = 100;
        constexpr int last_status = 599;
        if (status < first_status || status > last_status) {
            ec = http::error::bad_status;
        }
        response.status = static_cast<unsigned>(status);
        response.reason = plain(reason);
    }
    void on_field_impl(http::field which, view name, view value, error_code& ec) override
    {
        // Another reader of the same message may find its end elsewhere if it is framed twice, or
        // by a coding that this one does not know.
        if (which == http::field::transfer_encoding &&
            (std::exchange(has_coding_, true) || !equal_fold(plain(value), "chunked"))) {
            ec = http::error::bad_transfer_encoding;
        }
        if (which == http::field::content_length &&
            (std::exchange(has_length_, true) || !is_number(plain(value)))) {
            ec = http::error::bad_content_length;
        }
        (is_request ? request.fields : response.fields).add(plain(name), plain(value));
    }
    void on_header_impl(error_code&) override
    {
        request.keep_alive = this->keep_alive();
        response.keep_alive = this->keep_alive();
        if (const auto expect = request.fields.find("Expect")) {
            request.expects_continue = equal_fold(*expect, "100-continue");
        }
        if (this->chunked()) {
            response.body = framing::chunked;
        } else if (const auto length = this->content_length()) {
            response.body = framing::sized;
            response.length = *length;
        } else if (!is_request && this->need_eof()) {
            response.body = framing::until_close;
        }
    }
    void on_body_init_impl(const boost::optional<std::uint64_t>&, error_code&) override {}
    std::size_t on_body_impl(view, error_code&) override { return 0; }
    void on_chunk_header_impl(std::uint64_t, view, error_code&) override {}
    std::size_t on_chunk_body_impl(std::uint64_t, view, error_code&) override { return 0; }
    void on_finish_impl(error_code&) override {}

    static bool is_number(std::string_view text)
    {
        return !text.empty() && std::all_of(text.begin(), text.end(), detail::is_digit);
    }

    bool has_coding_ = false;
    bool has_length_ = false;
};

/// Empties `it`, which an assignment would do without freeing its memory.
void free_memory(std::string& it) noexcept
{
    std::string{}.swap(it);
}

/// Whether a response with this status ends with its head, whatever its fields say.
bool has_no_body(unsigned status)
{
    constexpr unsigned first_final = 200;
    constexpr unsigned no_content = 204;
    constexpr unsigned not_modified = 304;
    return status < first_final || status == no_content || status == not_modified;
}

/// Reads one message. The head is given to Beast in one piece and the body is framed here, so that
/// the result does not depend on how the bytes are split, and no input exceeds the limits.
template <bool is_request>
class message_reader {
public:
    /// `bodyless`: the message is a response to HEAD.
    message_reader(parse_limits limits, bool bodyless)
        : limits_{limits}, bodyless_{bodyless}, scanner_{limits.head_bytes, !is_request},
          chunks_{{.body_bytes = limits.body_bytes, .trailer_bytes = limits.head_bytes}}
    {
    }

    /// Returns the number of bytes that have been read. While the head is incomplete that is the
    /// length of the blank lines before it; the next call must pass the other bytes again, followed
    /// by those that have arrived since.
    std::size_t read(std::string_view bytes)
    {
        if (done_ || fault_ != parse_fault::none) {
            return 0;
        }
        std::size_t used = 0;
        if (is_request && !head_begun_) {
            used = skip_blank_lines(bytes);
            if (!head_begun_) {
                return used;
            }
        }
        if (!head_done_) {
            used += read_head(bytes.substr(used));
            if (!head_done_) {
                return used;
            }
        }
        return used + read_body(bytes.substr(used));
    }
    /// The peer has closed its side in good order.
    void finish()
    {
        if (done_ || fault_ != parse_fault::none) {
            return;
        }
        done_ = head_done_ && body_ == framing::until_close;
        if (!done_) {
            fault_ = parse_fault::cut_short;
        }
    }

    void abandon()
    {
        fault_ = parse_fault::cut_short;
        head_memory_ = 0;
        free_memory(body);
    }

    /// Whether bytes of a request line have arrived.
    [[nodiscard]] bool head_begun() const noexcept { return head_begun_; }
    [[nodiscard]] bool head_done() const noexcept { return head_done_; }
    [[nodiscard]] bool done() const noexcept { return done_; }
    [[nodiscard]] parse_fault fault() const noexcept { return fault_; }
    /// Bytes of a sized body that have not been read yet.
    [[nodiscard]] std::uint64_t missing() const noexcept { return missing_; }
    [[nodiscard]] std::size_t memory_bytes() const noexcept
    {
        return head_memory_ + memory_of(body);
    }

    collector<is_request> head;
    std::string body;

private:
    /// Returns the length of the blank lines at the start of `bytes`.
    std::size_t skip_blank_lines(std::string_view bytes)
    {
        std::size_t out = 0;
        while (bytes.substr(out).starts_with(blank_line)) {
            out += blank_line.size();
            if (++blank_lines_ > max_blank_lines) {
                fault_ = parse_fault::malformed;
                return out;
            }
        }
        head_begun_ = !blank_line.starts_with(bytes.substr(out));
        return out;
    }

    std::size_t read_head(std::string_view bytes)
    {
        const std::size_t length = scanner_.scan(bytes);
        if (length == 0) {
            check_start_line(bytes.substr(0, scanner_.start_line()));
            fault_ = fault_ == parse_fault::none ? scanner_.fault() : fault_;
            return 0;
        }
        (is_request ? head.request.fields : head.response.fields).reserve(scanner_.lines());
        error_code ec;
        head.skip(bodyless_);
        head.header_limit(std::numeric_limits<std::uint32_t>::max());
        head.body_limit(boost::none);
        head.put(boost::asio::buffer(bytes.data(), length), ec);
        if (ec || !head.is_header_done()) {
            fault_ = parse_fault::malformed;
            return 0;
        }
        head_done_ = true;
        head_memory_ = length + scanner_.lines() * sizeof(field);
        begin_body();
        return length;
    }

    /// Rejects a start line that is not one without waiting for the rest of the head.
    void check_start_line(std::string_view line)
    {
        if (line.empty() || std::exchange(start_line_checked_, true)) {
            return;
        }
        collector<is_request> parser;
        error_code ec;
        parser.put(boost::asio::buffer(line.data(), line.size()), ec);
        if (ec && ec != http::error::need_more) {
            fault_ = parse_fault::malformed;
        }
    }

    void begin_body()
    {
        const bool empty = !is_request && (bodyless_ || has_no_body(head.response.status));
        body_ = empty ? framing::none : head.response.body;
        missing_ = body_ == framing::sized ? head.response.length : 0;
        if (missing_ > limits_.body_bytes) {
            fault_ = parse_fault::body_too_large;
        } else if (is_request) {
            // Does not move while it grows, unless it is larger than any usual limit.
            body.reserve(
                static_cast<std::size_t>(std::min<std::uint64_t>(missing_, max_reserved_bytes)));
        }
        done_ = body_ == framing::none || (body_ == framing::sized && missing_ == 0);
    }

    std::size_t read_body(std::string_view bytes)
    {
        if (done_ || fault_ != parse_fault::none) {
            return 0;
        }
        if (body_ == framing::chunked) {
            const std::size_t used = chunks_.decode(bytes, body);
            done_ = chunks_.done();
            fault_ = chunks_.fault();
            return used;
        }
        const bool sized = body_ == framing::sized;
        const std::size_t used =
            sized ? static_cast<std::size_t>(std::min<std::uint64_t>(missing_, bytes.size()))
                  : bytes.size();
        body.append(bytes.substr(0, used));
        missing_ -= sized ? used : 0;
        done_ = sized && missing_ == 0;
        return used;
    }

    parse_limits limits_;
    bool bodyless_;
    head_scanner scanner_;
    chunk_decoder chunks_;
    framing body_ = framing::none;
    std::uint64_t missing_ = 0;   ///< bytes of a sized body
    std::size_t blank_lines_ = 0; ///< before a request line
    std::size_t head_memory_ = 0; ///< of the parsed head
    bool head_begun_ = false;     ///< of a request
    bool start_line_checked_ = false;
    bool head_done_ = false;
    bool done_ = false;
    parse_fault fault_ = parse_fault::none;
};

/// Passes `bytes`, and before them what is left in `buffer`, to the reader; keeps the rest.
template <class Reader>
void feed(Reader& reader, std::string& buffer, std::string_view bytes)
{
    if (buffer.empty()) {
        buffer.assign(bytes.substr(reader.read(bytes)));
    } else {
        buffer.append(bytes);
        buffer.erase(0, reader.read(buffer));
    }
    constexpr std::size_t max_idle_bytes = std::size_t{1} << 10U;
    if (reader.fault() != parse_fault::none ||
        (buffer.empty() && buffer.capacity() > max_idle_bytes)) {
        free_memory(buffer);
    }
}

} // namespace

struct request_parser::state : message_reader<true> {
    using message_reader::message_reader;
};

request_parser::request_parser(parse_limits limits) : limits_{limits}
{
    next();
}

request_parser::~request_parser() = default;

void request_parser::next()
{
    state_ = std::make_unique<state>(limits_, false);
    feed(*state_, buffer_, {});
}

void request_parser::push(std::string_view bytes)
{
    feed(*state_, buffer_, bytes);
}

void request_parser::abandon()
{
    free_memory(buffer_);
    state_->abandon();
}

bool request_parser::begun() const noexcept
{
    return state_->head_done() || (state_->head_begun() && !buffer_.empty());
}

bool request_parser::head_done() const noexcept
{
    return state_->head_done();
}

bool request_parser::done() const noexcept
{
    return state_->done();
}

bool request_parser::has_whole_request_waiting() const
{
    if (!state_->done() || buffer_.empty()) {
        return false;
    }
    state next{limits_, false};
    next.read(buffer_);
    return next.done();
}

parse_fault request_parser::fault() const noexcept
{
    return state_->fault();
}

request_head& request_parser::head() noexcept
{
    return state_->head.request;
}

std::string& request_parser::body() noexcept
{
    return state_->body;
}

std::uint64_t request_parser::missing_bytes() const noexcept
{
    return state_->missing();
}

std::size_t request_parser::memory_bytes() const noexcept
{
    return allocated_bytes(buffer_) + state_->memory_bytes();
}

struct response_parser::state : message_reader<false> {
    using message_reader::message_reader;
};

response_parser::response_parser()
{
    begin(false);
}

response_parser::~response_parser() = default;

void response_parser::begin(bool bodyless)
{
    constexpr parse_limits limits{response_head_limit, std::numeric_limits<std::uint64_t>::max()};
    state_ = std::make_unique<state>(limits, bodyless);
    feed(*state_, buffer_, {});
}

void response_parser::push(std::string_view bytes)
{
    feed(*state_, buffer_, bytes);
}

void response_parser::finish()
{
    state_->finish();
}

bool response_parser::head_done() const noexcept
{
    return state_->head_done();
}

bool response_parser::done() const noexcept
{
    return state_->done();
}

parse_fault response_parser::fault() const noexcept
{
    return state_->fault();
}

response_head& response_parser::head() noexcept
{
    return state_->head.response;
}

std::string response_parser::take_body()
{
    return std::exchange(state_->body, {});
}

bool response_parser::has_extra() const noexcept
{
    return state_->done() && !buffer_.empty();
}

} // namespace hickorypost::http1
