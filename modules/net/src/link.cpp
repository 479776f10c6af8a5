#include "hickorypost/net/link.h"

#include <array>

namespace hickorypost::net {

namespace {

constexpr std::size_t read_chunk = std::size_t{64} << 10U;
/// Reads per wake-up; other links of the context get their turn after that.
constexpr int reads_per_turn = 8;
constexpr gint64 micros_per_milli = 1000;
/// Bytes that a peer may send before its hello is complete. Until then it may be anyone.
constexpr std::uint64_t max_bytes_before_hello = std::uint64_t{8} << 10U;

bool is_would_block(const GError* error)
{
    return g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) != FALSE;
}

} // namespace

link::link(gobject_ptr<GIOStream> stream, wire::hello self, link_options options, link_hooks hooks)
    : stream_{std::move(stream)}, input_{G_POLLABLE_INPUT_STREAM(
                                      g_io_stream_get_input_stream(stream_.get()))},
      output_{G_POLLABLE_OUTPUT_STREAM(g_io_stream_get_output_stream(stream_.get()))},
      self_{std::move(self)}, options_{options}, hooks_{std::move(hooks)},
      reader_{options.max_frame_bytes}, last_received_us_{g_get_monotonic_time()}
{
}

link::~link() = default;

std::shared_ptr<link> link::start(gobject_ptr<GIOStream> stream, wire::hello self,
                                  link_options options, link_hooks hooks)
{
    std::shared_ptr<link> out{
        new link{std::move(stream), std::move(self), options, std::move(hooks)}};
    out->watch_input();
    out->beat_timer_ = timer::every(options.heartbeat, [raw = out.get()] { raw->beat(); });
    out->send(out->self_);
    return out;
}

void link::send_frame(wire::message_type type, std::string_view body)
{
    if (closed_) {
        return;
    }
    wire::append_frame(out_.tail(), static_cast<std::uint16_t>(type), body);
    ++counters_.frames_sent;
    counters_.bytes_sent += body.size() + wire::frame_header_bytes;
    sent_since_beat_ = true;
    schedule_flush();
}

void link::schedule_flush()
{
    if (!output_source_ && !flush_timer_.armed()) {
        flush_timer_ = timer::when_idle([this] { flush(); });
    }
}

void link::flush()
{
    const auto keep = shared_from_this();
    while (!closed_ && !out_.empty()) {
        GError* raw = nullptr;
        const gssize n = g_pollable_output_stream_write_nonblocking(output_, out_.pending().data(),
                                                                    out_.size(), nullptr, &raw);
        if (n >= 0) {
            out_.consume(static_cast<std::size_t>(n));
            continue;
        }
        const gerror_ptr error{raw};
        if (!is_would_block(raw)) {
            close(error->message);
            return;
        }
        if (unsent_bytes() > options_.max_unsent_bytes) {
            close("peer does not read");
            return;
        }
        watch_output();
        return;
    }
    output_source_.reset();
}

void link::watch_output()
{
    if (output_source_) {
        return;
    }
    GSource* source = g_pollable_output_stream_create_source(output_, nullptr);
    const auto ready = [](GObject*, gpointer data) -> gboolean {
        auto* self = static_cast<link*>(data);
        self->output_source_.reset();
        self->flush();
        return G_SOURCE_REMOVE;
    };
    g_source_set_callback(source, G_SOURCE_FUNC(+ready), this, nullptr);
    g_source_attach(source, g_main_context_get_thread_default());
    output_source_.reset(source);
}

void link::watch_input()
{
    GSource* source = g_pollable_input_stream_create_source(input_, nullptr);
    const auto ready = [](GObject*, gpointer data) -> gboolean {
        static_cast<link*>(data)->read_some();
        return G_SOURCE_CONTINUE;
    };
    g_source_set_callback(source, G_SOURCE_FUNC(+ready), this, nullptr);
    g_source_attach(source, g_main_context_get_thread_default());
    input_source_.reset(source);
}

void link::read_some()
{
    const auto keep = shared_from_this();
    // Not zeroed: filled by the read below, up to the count that it gives.
    std::array<char, read_chunk> buf; // NOLINT(cppcoreguidelines-pro-type-member-init)
    for (int n = 0; n < reads_per_turn && !closed_; ++n) {
        GError* raw = nullptr;
        const gssize got =
            g_pollable_input_stream_read_nonblocking(input_, buf.data(), buf.size(), nullptr, &raw);
        if (got == 0) {
            close("closed by peer");
            return;
        }
        if (got < 0) {
            const gerror_ptr error{raw};
            if (!is_would_block(raw)) {
                close(error->message);
            }
            return;
        }
        counters_.bytes_received += static_cast<std::uint64_t>(got);
        reader_.push({buf.data(), static_cast<std::size_t>(got)});
        take_frames();
        if (up_) {
            last_received_us_ = g_get_monotonic_time(); // a peer without a hello may be anyone
        }
        if (!closed_ && !up_ && counters_.bytes_received > max_bytes_before_hello) {
            close("hello larger than allowed");
            return;
        }
        if (static_cast<std::size_t>(got) < buf.size()) {
            return;
        }
    }
}

void link::take_frames()
{
    while (!closed_) {
        std::optional<wire::frame> frame;
        const bool good = value_or_handle<wire::frame_error>(
            [&]() -> result<bool> {
                BOOST_LEAF_ASSIGN(frame, reader_.next());
                return true;
            },
            [](wire::frame_error) { return false; });
        if (!good) {
            close("frame larger than allowed");
            return;
        }
        if (!frame) {
            return;
        }
        const auto type = static_cast<wire::message_type>(frame->type);
        if (!up_) {
            if (type != wire::message_type::hello) {
                close("peer did not say hello");
                return;
            }
            take_hello(frame->body);
        } else if (type != wire::message_type::heartbeat) {
            hooks_.message(*this, type, frame->body);
        }
    }
}

void link::take_hello(std::string_view body)
{
    const auto hello = wire::try_decode<wire::hello>(body);
    if (!hello) {
        close("hello cannot be read");
        return;
    }
    if (hello->newest < self_.oldest || self_.newest < hello->oldest) {
        close("no common protocol version");
        return;
    }
    peer_ = *hello;
    up_ = true;
    hooks_.up(*this);
}

void link::beat()
{
    const auto keep = shared_from_this();
    const gint64 silent = g_get_monotonic_time() - last_received_us_;
    if (silent > options_.silence_limit.count() * micros_per_milli) {
        close("silent connection");
        return;
    }
    if (!sent_since_beat_) {
        send(wire::heartbeat{++beat_sequence_});
    }
    sent_since_beat_ = false;
}

void link::close(std::string_view why)
{
    if (closed_) {
        return;
    }
    const auto keep = shared_from_this();
    closed_ = true;
    input_source_.reset();
    output_source_.reset();
    flush_timer_.cancel();
    beat_timer_.cancel();
    g_io_stream_close(stream_.get(), nullptr, nullptr);
    hooks_.down(*this, why);
}

} // namespace hickorypost::net
