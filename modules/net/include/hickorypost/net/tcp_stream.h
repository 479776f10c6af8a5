#pragma once

#include "hickorypost/base/result.h"
#include "hickorypost/net/out_buffer.h"
#include "hickorypost/net/poller.h"
#include "hickorypost/net/timer.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace hickorypost::net {

/// An IPv4 address with a port, checked.
struct endpoint {
    std::uint32_t ip = 0; ///< network byte order
    std::uint16_t port = 0;

    static std::optional<endpoint> parse(std::string_view text);
    friend bool operator==(const endpoint&, const endpoint&) = default;
};

/// How a stream ended on the other side.
enum class stream_end : std::uint8_t {
    finished, ///< the peer closed in good order
    failed,   ///< reset, timed out, or never connected
    refused,  ///< never connected: nobody listens there
};

/// Bytes of a connection that the kernel holds.
struct kernel_bytes {
    std::size_t unsent = 0; ///< written, and not acknowledged by the peer
    std::size_t unread = 0;
};

/// Bytes that the kernel buffers for a connection. It doubles them for its own overhead.
struct socket_buffers {
    std::size_t receive = std::size_t{64} << 10U;
    std::size_t send = std::size_t{64} << 10U;
};

/// A byte stream over TCP on a `poller`. Owns its socket.
///
/// Bytes written in one turn of the main context are sent in one system call. Keep-alive probes and
/// TCP_USER_TIMEOUT detect a peer that no longer responds.
class tcp_stream final : public pollable {
public:
    struct hooks {
        std::function<void()> connected;
        std::function<void(std::string_view)> bytes;
        std::function<void()>
            drained; ///< all bytes are sent, after a write that would have blocked
        /// The peer has ended its input in good order. Returns whether the stream stays open for
        /// output; `ended` then follows only if the connection fails. If unset, the stream ends.
        std::function<bool()> input_ended;
        std::function<void(stream_end)> ended; ///< once; nothing follows
    };

    /// Begins to connect; `ended` is called later if that fails.
    static std::unique_ptr<tcp_stream> connect(poller& on, const endpoint& to, millis silence_limit,
                                               const socket_buffers& buffers = {});
    /// Takes over an accepted, non-blocking socket.
    static std::unique_ptr<tcp_stream> adopt(poller& on, int fd, millis silence_limit);

    ~tcp_stream() override;
    tcp_stream(const tcp_stream&) = delete;
    tcp_stream& operator=(const tcp_stream&) = delete;

    /// Replaces `socket_buffers::send` for bytes written from now on.
    void set_send_buffer(std::size_t bytes) const;
    /// Raises `socket_buffers::receive`. Lowering it would make the kernel drop bytes inside the
    /// window that it has advertised.
    void set_receive_buffer(std::size_t bytes) const;
    /// Nothing arrives before the hooks are set. A hook may destroy the stream.
    void set_hooks(hooks to);
    void write(std::string_view bytes);
    /// Sends buffered bytes as far as the kernel takes them, then closes.
    void close();
    /// Closes without sending what is buffered.
    void abort();
    /// Closes so that the peer sees a failure, also if it has read all that was sent.
    void reset();
    /// Stops or resumes reading. The peer's close is reported in both cases.
    void set_reading(bool on);

    /// Writes buffered bytes as far as the socket takes them, without waiting for the end of the
    /// turn.
    void write_now() { write_out(); }
    /// Tells the peer that nothing follows what has been written. Bytes still arrive until it
    /// closes. Requires that nothing is unsent.
    void shut_down_output() const;
    [[nodiscard]] std::size_t unsent() const noexcept { return out_.size(); }
    /// Memory of the bytes that wait to be written.
    [[nodiscard]] std::size_t unsent_memory() const noexcept { return out_.capacity(); }
    /// Bytes that were handed to the kernel, so that the peer may have read them.
    [[nodiscard]] std::uint64_t sent_bytes() const noexcept { return sent_bytes_; }
    [[nodiscard]] bool open() const noexcept { return fd_ >= 0; }
    /// Zero for what the system does not tell.
    [[nodiscard]] kernel_bytes in_kernel() const;
    /// Whether the stream is open and neither bytes nor the peer's close have arrived unread.
    [[nodiscard]] bool is_quiet() const;
    /// Whether the peer closed or reset the connection, as opposed to one that timed out.
    [[nodiscard]] bool ended_by_peer() const noexcept;

    void ready(std::uint32_t events) override;
    void flush() override;

private:
    tcp_stream(poller& on, int fd, bool connected);
    void set_options(millis silence_limit) const;
    void guarded(const std::function<void()>& body);
    void take_events(std::uint32_t events);
    void write_out();
    void note_send_error(int error);
    void read_all();
    /// Handles the peer's orderly end of its input.
    void end_input();
    void end(stream_end how);
    void release();

    poller* poller_;
    int fd_;
    hooks hooks_;
    hooks retired_; ///< replaced hooks, one of which may be running
    out_buffer out_;
    bool connected_;
    bool reading_ = true;
    bool readable_ = false;
    bool peer_closed_ = false;
    bool blocked_ = false;
    std::uint64_t sent_bytes_ = 0;
    int error_ = 0;              ///< errno of the lost connection; 0: none
    bool broken_ = false;        ///< a write found the connection reset or timed out
    bool input_ended_ = false;   ///< the stream is open for output only
    bool output_failed_ = false; ///< a write found the connection closed
    int connect_error_ = 0;      ///< errno of the call that began to connect
    /// Set while hooks run, so that a destroyed stream is noticed.
    bool* destroyed_ = nullptr;
};

/// Accepts connections on a port.
class tcp_listener final : public pollable {
public:
    using accept_fn = std::function<void(int fd)>;
    using accept_failed_fn = std::function<void(int error)>;

    /// Gives nothing if the address cannot be listened on; errno tells why. Port 0 picks one.
    /// `accept_failed`: connections wait that can't be accepted, for lack of descriptors for
    /// example; they are tried again. Called again only after none has waited. `buffers` are those
    /// of accepted connections.
    static std::unique_ptr<tcp_listener> open(poller& on, const endpoint& at, accept_fn accept,
                                              accept_failed_fn accept_failed = {},
                                              const socket_buffers& buffers = {});
    ~tcp_listener() override;
    tcp_listener(const tcp_listener&) = delete;
    tcp_listener& operator=(const tcp_listener&) = delete;

    [[nodiscard]] std::uint16_t port() const noexcept { return port_; }
    /// Accepts no further connections. Unlike the destructor, the hook may call this.
    void stop() noexcept { stopped_ = true; }
    [[nodiscard]] bool stopped() const noexcept { return stopped_; }
    void ready(std::uint32_t events) override;

private:
    tcp_listener(poller& on, int fd, accept_fn accept, accept_failed_fn accept_failed);
    void accept_later(int error);

    poller* poller_;
    int fd_;
    accept_fn accept_;
    accept_failed_fn accept_failed_;
    timer retry_;
    bool failing_ = false; ///< since the last time when no connection waited
    std::uint16_t port_ = 0;
    bool stopped_ = false;
};

} // namespace hickorypost::net
