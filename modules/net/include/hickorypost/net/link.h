#pragma once

#include "hickorypost/base/buffer.h"
#include "hickorypost/base/time.h"
#include "hickorypost/net/gobject_ptr.h"
#include "hickorypost/net/out_buffer.h"
#include "hickorypost/net/timer.h"
#include "hickorypost/wire/codec.h"
#include "hickorypost/wire/frame.h"
#include "hickorypost/wire/messages.h"

#include <memory>
#include <string>

namespace hickorypost::net {

struct link_options {
    millis heartbeat{1000};
    /// A link on which nothing arrives for this long is taken for dead and closed: something
    /// between the two ends may have lost track of it, and new connections still work.
    millis silence_limit{3000};
    std::size_t max_frame_bytes = wire::default_max_frame_bytes;
    /// A peer that does not read is cut off past this, so that it cannot take our memory.
    std::size_t max_unsent_bytes = std::size_t{64} << 20U;
};

/// Bytes and frames a link carried, for the control-traffic accounts.
struct link_counters {
    std::uint64_t frames_sent = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
};

class link;

struct link_hooks {
    std::function<void(link&)> up; ///< the peer said hello
    std::function<void(link&, wire::message_type, std::string_view body)> message;
    std::function<void(link&, std::string_view why)> down; ///< once; nothing follows
};

/// One framed connection to another process. Owns its socket; lives on one main context.
///
/// Sends `hello` first and hands out messages only after the peer's. What is sent during one
/// iteration of the main context leaves in one write.
class link : public std::enable_shared_from_this<link> {
public:
    static std::shared_ptr<link> start(gobject_ptr<GIOStream> stream, wire::hello self,
                                       link_options options, link_hooks hooks);
    ~link();
    link(const link&) = delete;
    link& operator=(const link&) = delete;

    template <class M>
    void send(const M& message)
    {
        wire::encode_to(scratch_, message);
        send_frame(M::type, scratch_);
        clear_buffer(scratch_);
    }

    void close(std::string_view why);

    [[nodiscard]] bool is_up() const noexcept { return up_ && !closed_; }
    [[nodiscard]] const wire::hello& peer() const noexcept { return peer_; }
    [[nodiscard]] std::size_t unsent_bytes() const noexcept { return out_.size(); }
    /// Memory allocated by the buffers of this link, in bytes.
    [[nodiscard]] std::size_t buffer_bytes() const noexcept
    {
        return out_.capacity() + reader_.capacity() + scratch_.capacity();
    }
    [[nodiscard]] const link_counters& counters() const noexcept { return counters_; }

private:
    link(gobject_ptr<GIOStream> stream, wire::hello self, link_options options, link_hooks hooks);

    void send_frame(wire::message_type type, std::string_view body);
    void schedule_flush();
    void flush();
    void read_some();
    void take_frames();
    void take_hello(std::string_view body);
    void beat();
    void watch_input();
    void watch_output();

    gobject_ptr<GIOStream> stream_;
    GPollableInputStream* input_;
    GPollableOutputStream* output_;
    wire::hello self_;
    wire::hello peer_;
    link_options options_;
    link_hooks hooks_;
    wire::frame_reader reader_;
    out_buffer out_;
    std::string scratch_;
    gsource_ptr input_source_;
    gsource_ptr output_source_;
    timer flush_timer_;
    timer beat_timer_;
    link_counters counters_;
    std::uint64_t beat_sequence_ = 0;
    bool sent_since_beat_ = false;
    gint64 last_received_us_ = 0;
    bool up_ = false;
    bool closed_ = false;
};

} // namespace hickorypost::net
