#include "hickorypost/http1/parser.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <utility>

namespace hickorypost::http1 {

namespace {

namespace http = boost::beast::http;
using error_code = boost::beast::error_code;
using view = boost::beast::string_view;

/// Of a response's head; replicas send a few hundred bytes.
constexpr std::uint32_t response_head_limit = 32U << 10U;

std::string_view plain(view text)
{
    return {text.data(), text.size()};
}

parse_fault fault_of(const error_code& ec)
{
    if (ec == http::error::header_limit) {
        return parse_fault::head_too_large;
    }
    if (ec == http::error::body_limit) {
        return parse_fault::body_too_large;
    }
    return ec == http::error::partial_message ? parse_fault::cut_short : parse_fault::malformed;
}

/// Collects what Beast's parser finds.
template <bool is_request>
class collector final : public http::basic_parser<is_request> {
public:
    request_head request;
    response_head response;
    std::string body;

private:
    void on_request_impl(http::verb, view method, view target, int, error_code&) override
    {
        request.method = plain(method);
        request.target = plain(target);
    }
    void on_response_impl(int status, view reason, int, error_code&) override
    {
        response.status = static_cast<unsigned>(status);
        response.reason = plain(reason);
    }
    void on_field_impl(http::field, view name, view value, error_code&) override
    {
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
    std::size_t on_body_impl(view bytes, error_code&) override { return append(bytes); }
    void on_chunk_header_impl(std::uint64_t, view, error_code&) override {}
    std::size_t on_chunk_body_impl(std::uint64_t, view bytes, error_code&) override
    {
        return append(bytes);
    }
    void on_finish_impl(error_code&) override {}

    std::size_t append(view bytes)
    {
        body.append(bytes.data(), bytes.size());
        return bytes.size();
    }
};

/// Feeds `buffer` to the parser until it needs more or is done; takes away what was used.
template <class Parser>
parse_fault feed(Parser& parser, std::string& buffer)
{
    std::size_t used = 0;
    parse_fault out = parse_fault::none;
    while (used < buffer.size() && !parser.is_done()) {
        error_code ec;
        const std::size_t n =
            parser.put(boost::asio::buffer(buffer.data() + used, buffer.size() - used), ec);
        used += n;
        if (ec && ec != http::error::need_more) {
            out = fault_of(ec);
            break;
        }
        if (n == 0) {
            break;
        }
    }
    buffer.erase(0, used);
    return out;
}

} // namespace

struct request_parser::state {
    collector<true> parser;
    parse_fault fault = parse_fault::none;
};

request_parser::request_parser(parse_limits limits) : limits_{limits}
{
    next();
}

request_parser::~request_parser() = default;

void request_parser::next()
{
    state_ = std::make_unique<state>();
    state_->parser.eager(true);
    state_->parser.header_limit(limits_.head_bytes);
    state_->parser.body_limit(limits_.body_bytes);
    if (!buffer_.empty()) {
        parse();
    }
}

void request_parser::push(std::string_view bytes)
{
    buffer_.append(bytes);
    parse();
}

void request_parser::parse()
{
    if (state_->fault == parse_fault::none) {
        state_->fault = feed(state_->parser, buffer_);
    }
}

bool request_parser::begun() const noexcept
{
    return !buffer_.empty() || state_->parser.got_some() || state_->parser.is_header_done();
}

bool request_parser::head_done() const noexcept
{
    return state_->parser.is_header_done();
}

bool request_parser::done() const noexcept
{
    return state_->parser.is_done();
}

parse_fault request_parser::fault() const noexcept
{
    return state_->fault;
}

request_head& request_parser::head() noexcept
{
    return state_->parser.request;
}

std::string& request_parser::body() noexcept
{
    return state_->parser.body;
}

struct response_parser::state {
    collector<false> parser;
    parse_fault fault = parse_fault::none;
};

response_parser::response_parser() : state_{std::make_unique<state>()} {}

response_parser::~response_parser() = default;

void response_parser::begin(bool bodyless)
{
    state_ = std::make_unique<state>();
    state_->parser.eager(true);
    state_->parser.skip(bodyless);
    state_->parser.header_limit(response_head_limit);
    state_->parser.body_limit(boost::none);
    if (!buffer_.empty()) {
        parse();
    }
}

void response_parser::push(std::string_view bytes)
{
    buffer_.append(bytes);
    parse();
}

void response_parser::parse()
{
    if (state_->fault == parse_fault::none) {
        state_->fault = feed(state_->parser, buffer_);
    }
}

void response_parser::finish()
{
    if (state_->parser.is_done() || state_->fault != parse_fault::none) {
        return;
    }
    error_code ec;
    if (state_->parser.got_some()) {
        state_->parser.put_eof(ec);
    }
    if (ec || !state_->parser.is_done()) {
        state_->fault = parse_fault::cut_short;
    }
}

bool response_parser::head_done() const noexcept
{
    return state_->parser.is_header_done();
}

bool response_parser::done() const noexcept
{
    return state_->parser.is_done();
}

parse_fault response_parser::fault() const noexcept
{
    return state_->fault;
}

response_head& response_parser::head() noexcept
{
    return state_->parser.response;
}

std::string response_parser::take_body()
{
    return std::exchange(state_->parser.body, {});
}

bool response_parser::has_extra() const noexcept
{
    return state_->parser.is_done() && !buffer_.empty();
}

} // namespace hickorypost::http1
