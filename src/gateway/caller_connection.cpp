#include "gateway/caller_connection.h"

#include "hickorypost/base/buffer.h"

#include <algorithm>
#include <bit>
#include <sys/epoll.h>
#include <utility>

namespace hickorypost {

namespace {

constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";
/// All response heads begin with this.
constexpr std::string_view response_prefix = "HTTP/1.1 ";
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_request_timeout = 408;
constexpr unsigned status_body_too_large = 413;
constexpr unsigned status_head_too_large = 431;
constexpr unsigned status_unavailable = 503;
constexpr unsigned status_no_content = 204;
constexpr unsigned status_not_modified = 304;
/// A connection on which sent bytes or keepalive probes stay unacknowledged for this long is
/// closed.
constexpr millis unacknowledged_timeout{10'000};
/// Bytes that a caller may send before the answer to its previous request. Beyond them its
/// connection is not read until that answer is complete. The first applies while requests use less
/// than half of their memory.
constexpr std::size_t most_pipelined_bytes = std::size_t{64} << 10U;
constexpr std::size_t least_pipelined_bytes = std::size_t{4} << 10U;
/// Upper bounds of the kernel's buffers for a large request or answer.
constexpr net::socket_buffers most_socket_buffers{.receive = std::size_t{32} << 10U,
                                                  .send = std::size_t{64} << 10U};
/// The kernel doubles the size of a buffer for its own overhead.
constexpr std::size_t kernel_bytes_per_byte = 2;
/// Bytes of an answer that may wait for the end of the turn. What is unsent beyond them has been
/// refused by the socket, so that `drained` follows; the exchange pauses reading until then. Not
/// more than the smallest allowance, or reading would pause for bytes whose `drained` never comes.
constexpr std::size_t max_deferred_bytes = gateway::exchange_settings{}.min_answer_bytes;
/// Requests up to this size are rejected because memory is short only if its reserve is used up.
constexpr std::size_t small_request_bytes = std::size_t{16} << 10U;
/// `Retry-After` of a request that is rejected because memory is short: uploads end within seconds.
constexpr millis memory_retry_after{500};
/// A request in flight is kept for its retries, and a copy of it may be unsent.
constexpr std::size_t copies_in_flight = 2;
/// Interval between two looks at whether the caller's system has acknowledged what was sent.
constexpr millis confirmation_poll{2};
/// Time that a caller has to close its side after the last answer.
constexpr millis linger_timeout{2'000};

bool has_no_body(unsigned status)
{
    return status == status_no_content || status == status_not_modified;
}

http1::parse_limits to_parse_limits(const gateway::caller_limits& limits)
{
    return {limits.head_bytes, limits.body_bytes};
}

} // namespace

caller_connection::caller_connection(caller_server& server, int fd)
    : server_{server}, poller_{server.poller_}, timers_{server.timers_},
      stream_{net::tcp_stream::adopt(poller_, fd, unacknowledged_timeout)},
      parser_{to_parse_limits(server.options_.limits())},
      request_share_{server.options_.request_buffers},
      answer_share_{server.options_.answer_buffers}, raised_share_{server.options_.raised_buffers},
      least_buffers_{server.options_.socket_buffers}, socket_buffers_{least_buffers_}
{
}

caller_connection::~caller_connection()
{
    timers_.cancel(timer_);
    timers_.cancel(confirmation_timer_);
    poller_.forget(*this);
}

void caller_connection::start()
{
    net::tcp_stream::hooks hooks;
    hooks.bytes = [this](std::string_view bytes) { on_bytes(bytes); };
    hooks.drained = [this] {
        account_answer();
        if (exchange_) {
            exchange_->caller_drained();
        } else if (std::exchange(waits_for_reader_, false) || closing_when_sent_) {
            on_answer_complete();
        }
    };
    hooks.input_ended = [this] { return on_input_ended(); };
    hooks.ended = [this](net::stream_end how) { on_ended(how); };
    stream_->set_hooks(std::move(hooks));
    arm_timer();
    // What has arrived is read now, so that the caller of this function can limit how much is.
    stream_->ready(EPOLLIN);
}

void caller_connection::arm_timer()
{
    const auto limits = server_.options_.limits();
    timing_request_ = parser_.begun();
    waits_since_ = server_.now_();
    timers_.cancel(timer_);
    timer_ = timers_.add(
        server_.now_() + (timing_request_ ? limits.head_timeout : limits.idle_timeout), [this] {
            timer_ = 0;
            on_timeout();
        });
}

void caller_connection::on_timeout()
{
    const auto keep = shared_from_this();
    if (busy_) {
        return;
    }
    if (parser_.begun()) {
        keep_alive_ = false;
        busy_ = true;
        respond(gateway::gateway_response(status_request_timeout), {});
        return;
    }
    if (!stream_->is_quiet()) {
        arm_timer(); // a request has arrived and is about to be read
        return;
    }
    close();
    server_.remove(this);
}

void caller_connection::on_bytes(std::string_view bytes)
{
    if (lingering_) {
        return; // the remainder of a refused request
    }
    const auto keep = shared_from_this();
    parser_.push(bytes);
    const bool has_room = account_request();
    if (!busy_ && !has_room && parser_.head_done() && parser_.fault() == http1::parse_fault::none) {
        reject_for_memory();
        return;
    }
    if (!busy_) {
        advance();
    }
    read_or_pause();
}

void caller_connection::read_or_pause()
{
    if (!closed_) {
        stream_->set_reading(!busy_ || lingering_ || parser_.buffered() <= max_pipelined_bytes());
    }
}

bool caller_connection::account_request()
{
    const std::size_t bytes = parser_.memory_bytes();
    const std::uint64_t missing = parser_.missing_bytes();
    const auto& budget = *server_.options_.request_buffers;
    raise_receive_buffer();
    request_share_.set(bytes + dispatched_bytes_ + raised_receive_bytes());
    return budget.has_room(missing) ||
           (bytes + missing <= small_request_bytes && budget.has_reserve(missing));
}

std::size_t caller_connection::max_pipelined_bytes() const
{
    const auto& budget = *server_.options_.request_buffers;
    return budget.has_room(budget.limit() / 2) ? most_pipelined_bytes : least_pipelined_bytes;
}

void caller_connection::account_answer()
{
    if (stream_->unsent() > max_deferred_bytes) {
        fit_send_buffer();
        stream_->write_now();
    }
    answer_share_.set(stream_->unsent_memory() + raised_send_bytes());
}

void caller_connection::raise_receive_buffer()
{
    const auto& budget = *server_.options_.request_buffers;
    const bool is_large = parser_.missing_bytes() > least_buffers_.receive ||
                          parser_.body().size() > least_buffers_.receive;
    const bool is_reading =
        parser_.head_done() && !parser_.done() && parser_.fault() == http1::parse_fault::none;
    if (!is_large || !is_reading || socket_buffers_.receive >= most_socket_buffers.receive ||
        !budget.has_room(budget.limit() / 2)) {
        return;
    }
    // Stays raised: with a smaller buffer the kernel would drop bytes inside the window that it has
    // advertised, and the caller would retransmit them.
    socket_buffers_.receive = most_socket_buffers.receive;
    stream_->set_receive_buffer(socket_buffers_.receive);
    raised_share_.set(raised_receive_bytes() + raised_send_bytes());
}

std::size_t caller_connection::raised_receive_bytes() const noexcept
{
    const bool raised = socket_buffers_.receive > least_buffers_.receive;
    return raised ? kernel_bytes_per_byte * socket_buffers_.receive : 0;
}

void caller_connection::fit_send_buffer()
{
    sends_large_answer_ = true;
    set_send_buffer(std::bit_floor(
        server_.options_.answer_buffers->allowance(max_deferred_bytes, most_socket_buffers.send)));
}

void caller_connection::lower_send_buffer()
{
    // The kernel's buffer is empty once the caller has received the answer.
    if (sends_large_answer_ && stream_->unsent() == 0 && stream_->in_kernel().unsent == 0) {
        sends_large_answer_ = false;
        set_send_buffer(least_buffers_.send);
        account_answer();
    }
}

void caller_connection::set_send_buffer(std::size_t bytes)
{
    if (bytes != std::exchange(socket_buffers_.send, bytes)) {
        stream_->set_send_buffer(bytes);
    }
    raised_share_.set(raised_receive_bytes() + raised_send_bytes());
}

std::size_t caller_connection::raised_send_bytes() const noexcept
{
    return sends_large_answer_ ? kernel_bytes_per_byte * socket_buffers_.send : 0;
}

void caller_connection::reject_for_memory()
{
    if (server_.options_.request_rejected) {
        server_.options_.request_rejected(std::move(parser_.head()));
    }
    parser_.abandon();
    account_request();
    keep_alive_ = false; // the rest of the request follows
    busy_ = true;
    respond(gateway::gateway_response(status_unavailable, memory_retry_after), {});
}

void caller_connection::advance()
{
    if (parser_.fault() != http1::parse_fault::none) {
        reject(parser_.fault());
        return;
    }
    if (parser_.done()) {
        on_request();
        return;
    }
    if (parser_.head_done() && std::exchange(parser_.head().expects_continue, false)) {
        stream_->write(continue_response);
    }
    if (parser_.begun() != timing_request_ || timer_ == 0) {
        arm_timer();
    }
}

void caller_connection::reject(http1::parse_fault fault)
{
    unsigned status = status_bad_request;
    if (fault == http1::parse_fault::head_too_large) {
        status = status_head_too_large;
    } else if (fault == http1::parse_fault::body_too_large) {
        status = status_body_too_large;
    }
    // The end of the refused request is unknown, so that later requests cannot be parsed.
    keep_alive_ = false;
    busy_ = true;
    respond(gateway::gateway_response(status), {});
}

void caller_connection::on_request()
{
    busy_ = true;
    answer_begun_ = false;
    is_http_1_1_ = parser_.head().is_http_1_1;
    arrived_ = server_.now_();
    timers_.cancel(std::exchange(timer_, 0));
    const auto& options = server_.options_;
    held_ = options.may_handle && !options.may_handle();
    if (!held_) {
        dispatch();
        return;
    }
    timer_ = timers_.add(arrived_ + options.max_hold_time, [this] {
        timer_ = 0;
        dispatch();
    });
}

void caller_connection::dispatch()
{
    held_ = false;
    timers_.cancel(std::exchange(timer_, 0));
    keep_alive_ = parser_.head().keep_alive;
    bodyless_ = parser_.head().method == "HEAD";
    request_ = parser_.head().target;
    dispatched_bytes_ = copies_in_flight * memory_of(parser_.body());
    incoming_request request{std::move(parser_.head()), std::move(parser_.body()),
                             shared_from_this(), arrived_};
    account_request();
    if (auto started = server_.options_.handle(std::move(request))) {
        exchange_ = std::move(started);
        dispatched_bytes_ += sizeof(gateway::exchange);
        account_request();
        request_ = exchange_->id();
        exchange_->start();
    }
}

bool caller_connection::stays_open() const
{
    const bool takes_more = !server_.draining_ && !input_ended_;
    return keep_alive_ && (takes_more || parser_.has_whole_request_waiting());
}

void caller_connection::respond(http1::response_head head, std::string body)
{
    if (closed_) {
        return;
    }
    keep_alive_ = stays_open();
    answer_begun_ = true;
    if (!has_no_body(head.status)) {
        head.fields.add("Content-Length", std::to_string(body.size()));
    }
    if (!keep_alive_) {
        head.fields.add("Connection", "close");
    }
    std::string out =
        http1::write_response_head(head).substr(std::exchange(head_bytes_written_, 0));
    if (!bodyless_ && !has_no_body(head.status)) {
        out.append(body);
    }
    stream_->write(out);
    account_answer();
    on_answer_complete();
}

void caller_connection::begin(http1::response_head head)
{
    if (closed_) {
        return;
    }
    keep_alive_ = is_http_1_1_ && stays_open();
    answer_begun_ = true;
    if (is_http_1_1_) {
        head.fields.add("Transfer-Encoding", "chunked");
    }
    if (!keep_alive_) {
        head.fields.add("Connection", "close");
    }
    stream_->write(http1::write_response_head(head).substr(std::exchange(head_bytes_written_, 0)));
}

void caller_connection::piece(std::string_view bytes)
{
    if (closed_) {
        return;
    }
    if (is_http_1_1_) {
        std::string out;
        http1::append_chunk(out, bytes);
        stream_->write(out);
    } else {
        stream_->write(bytes);
    }
    account_answer();
}

void caller_connection::end()
{
    if (closed_) {
        return;
    }
    if (is_http_1_1_) {
        stream_->write(http1::last_chunk);
    }
    on_answer_complete();
}

void caller_connection::break_off()
{
    // The last chunk is left out, so that the caller detects the incomplete answer.
    keep_alive_ = false;
    resets_ = !is_http_1_1_;
    on_answer_complete();
}

void caller_connection::on_answer_complete()
{
    answer_complete_ = true;
    poller_.flush_later(*this);
}

void caller_connection::flush()
{
    if (!std::exchange(answer_complete_, false)) {
        return;
    }
    const auto keep = shared_from_this();
    exchange_.reset();
    dispatched_bytes_ = 0;
    if (closed_) {
        return; // what closed the connection has removed it from the server
    }
    account_request();
    account_answer();
    if (resets_) {
        close();
        server_.remove(this);
        return;
    }
    if (!keep_alive_) {
        close_when_sent();
        return;
    }
    if (stream_->unsent() > max_deferred_bytes) {
        waits_for_reader_ = true; // `drained` follows
        return;
    }
    busy_ = false;
    parser_.set_limits(to_parse_limits(server_.options_.limits()));
    parser_.next();
    if (parser_.begun() || parser_.fault() != http1::parse_fault::none) {
        advance();
    } else {
        arm_timer();
    }
    read_or_pause();
    if (input_ended_ && !busy_) {
        close_when_sent(); // no further request can be complete
    }
}

void caller_connection::add_to(buffered_bytes& sum) const
{
    const auto kernel = stream_->in_kernel();
    sum.requests += parser_.memory_bytes() + (exchange_ ? exchange_->request_body_bytes() : 0);
    sum.answers += stream_->unsent() + (exchange_ ? exchange_->answer_bytes() : 0);
    sum.kernel_unsent += kernel.unsent;
    sum.kernel_unread += kernel.unread;
}

void caller_connection::finish_request()
{
    if (held_) {
        dispatch();
    }
    if (exchange_) {
        exchange_->host_exits();
    }
}

void caller_connection::suspects_changed()
{
    if (exchange_) {
        exchange_->suspects_changed();
    }
}

void caller_connection::host_drains()
{
    if (exchange_) {
        exchange_->host_drains();
    }
}

void caller_connection::close_when_sent()
{
    if (closed_) {
        server_.remove(this);
        return;
    }
    stream_->write_now();
    if (stream_->unsent() == 0) {
        linger();
        return;
    }
    closing_when_sent_ = true;
    close_after(unacknowledged_timeout);
}

void caller_connection::linger()
{
    busy_ = false;
    closing_when_sent_ = false;
    if (input_ended_) {
        const auto keep = shared_from_this();
        close();
        server_.remove(this);
        return;
    }
    // Closing a socket that has unread input resets the connection, and the caller may lose the
    // answer. Therefore this side shuts down its output and waits until the caller, having read the
    // answer, closes the connection.
    lingering_ = true;
    stream_->set_reading(true);
    stream_->shut_down_output();
    close_after(linger_timeout);
}

void caller_connection::close_after(millis limit)
{
    timers_.cancel(timer_);
    timer_ = timers_.add(server_.now_() + limit, [this] {
        timer_ = 0;
        const auto keep = shared_from_this();
        close();
        server_.remove(this);
    });
}

void caller_connection::report_loss(bool by_caller)
{
    // A caller that closes after the answer was sent has received it; one that leaves during an
    // exchange appears in the record of the exchange.
    const bool accounted_for = by_caller && (lingering_ || exchange_);
    const bool sent = answer_complete_ && stream_->unsent() == 0;
    if (!answer_pending() || closed_ || sent || accounted_for ||
        !server_.options_.connection_lost) {
        return;
    }
    const bool answered = !busy_ || answer_complete_ || closing_when_sent_ || waits_for_reader_;
    const auto state = lingering_ ? answer_state::unconfirmed
                       : answered ? answer_state::unsent
                                  : answer_state::unanswered;
    server_.options_.connection_lost({request_, state, by_caller, stream_->unsent()});
}

bool caller_connection::on_input_ended()
{
    const bool relaying =
        answer_begun_ && !answer_complete_ && !closing_when_sent_ && !waits_for_reader_;
    // Nothing but the next bytes of the answer, which may be long in coming, could tell a caller in
    // the middle of an answer from one that has left. Callers leave streams that stall.
    if (lingering_ || !answer_pending() || (busy_ && relaying)) {
        return false;
    }
    input_ended_ = true;
    ++server_.inputs_ended_;
    if (!busy_) {
        keep_alive_ = false;
        on_answer_complete();
    } else if (!answer_begun_ && head_bytes_written_ == 0 && is_http_1_1_) {
        // A caller that has closed its connection resets it when bytes arrive, so that its request
        // is cancelled. Any other caller ignores an interim response.
        stream_->write(continue_response);
    }
    return true;
}

void caller_connection::confirm_waiting(millis limit, std::function<void(bool waits)> done)
{
    confirmation_done_ = std::move(done);
    if (closed_ || head_bytes_written_ == response_prefix.size()) {
        confirmation_timer_ = timers_.add(instant{}, [this] { end_confirmation(false); });
        return;
    }
    // A caller that has closed its connection resets it when bytes arrive, and any other caller's
    // system acknowledges them. The end of its input does not tell the two apart, and may still be
    // on its way.
    stream_->write(response_prefix.substr(head_bytes_written_++, 1));
    const instant due = server_.now_() + limit;
    confirmation_timer_ = timers_.add(server_.now_(), [this, due] { poll_confirmation(due); });
}

void caller_connection::poll_confirmation(instant due)
{
    confirmation_timer_ = 0;
    const instant now = server_.now_();
    if (stream_->unsent() == 0 && stream_->in_kernel().unsent == 0) {
        end_confirmation(true);
    } else if (now >= due) {
        end_confirmation(false);
    } else {
        confirmation_timer_ =
            timers_.add(now + confirmation_poll, [this, due] { poll_confirmation(due); });
    }
}

void caller_connection::end_confirmation(bool waits)
{
    const auto keep = shared_from_this();
    timers_.cancel(std::exchange(confirmation_timer_, 0));
    if (const auto done = std::exchange(confirmation_done_, nullptr)) {
        done(waits);
    }
}

void caller_connection::on_ended(net::stream_end how)
{
    const auto keep = shared_from_this();
    report_loss(true);
    closed_ = true;
    if (exchange_) {
        exchange_->caller_left(how == net::stream_end::finished
                                   ? "caller ended its input"
                                   : "caller's connection was reset or timed out");
        exchange_.reset();
    }
    server_.remove(this);
    end_confirmation(false);
}

void caller_connection::close()
{
    if (exchange_) {
        exchange_->host_exits();
    }
    stream_->write_now();
    report_loss(false);
    closed_ = true;
    exchange_.reset();
    timers_.cancel(std::exchange(timer_, 0));
    timers_.cancel(std::exchange(confirmation_timer_, 0));
    confirmation_done_ = nullptr;
    if (resets_) {
        stream_->reset();
    } else {
        stream_->close();
    }
}

} // namespace hickorypost
