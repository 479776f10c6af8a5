#pragma once

#include "hickorypost/base/time.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace hickorypost::gateway {

struct accept_queue_settings {
    /// Main loop turns that have taken this long read no further connections, so that requests in
    /// flight come before new ones.
    millis max_turn{20};
    /// Upper bound of the connections closed in a turn.
    std::size_t max_closed = 64;
    /// At least one connection is read in this time, however long the turns are.
    millis max_pause{250};
    /// A connection that has waited this long is late.
    millis late_after{250};
    /// A host is overloaded if its oldest connection has been late for this long. A shorter time
    /// may be due to a burst.
    millis min_time{400};
    /// Connections that an overloaded host cannot read in this time are closed. With less, hosts
    /// that are all nearly overloaded send callers to each other, which costs more than it saves.
    millis max_wait{500};
    /// Of a single turn at most this counts, as one may be long because of a large configuration or
    /// a processor quota.
    millis max_counted_turn{130};
    /// Within this time after an overload, the host is overloaded once connections wait.
    millis memory{2000};
};

/// New connections of callers that have not been read yet, oldest first. Decides how many a host
/// reads in a turn of its main loop and which it closes unread, so that their callers try another
/// host instead of waiting for one that receives more than it can process. Performs no I/O.
class accept_queue {
public:
    explicit accept_queue(accept_queue_settings settings) : settings_{settings} {}

    /// Adds a connection that was accepted `now`.
    void push(int fd, instant now);
    /// Whether the host is overloaded and cannot read a further connection within `max_wait`.
    [[nodiscard]] bool is_full() const noexcept;
    /// Whether connections should be accepted again after `is_full`.
    [[nodiscard]] bool has_room() const noexcept;
    /// Removes and returns the connection to read next. Empty if there is none or if a turn that
    /// has taken `turn` is to read no more.
    std::optional<int> pop(micros turn, instant now);
    /// Removes and returns the connections to close unread in this turn, those that have waited
    /// least.
    std::vector<int> take_excess(instant now);
    /// Removes and returns all connections.
    std::vector<int> take_all();

    /// Whether a turn that has taken `turn` is to read further requests.
    [[nodiscard]] bool may_read(micros turn) const noexcept { return turn < settings_.max_turn; }
    [[nodiscard]] bool is_overloaded() const noexcept { return overloaded_ && !waiting_.empty(); }
    [[nodiscard]] bool empty() const noexcept { return waiting_.empty(); }
    [[nodiscard]] std::size_t size() const noexcept { return waiting_.size(); }

private:
    struct entry {
        int fd = -1;
        instant accepted;
    };

    void update(instant now);
    /// When a connection that is added now will be read, if the host stays overloaded.
    [[nodiscard]] micros expected_wait() const noexcept { return read_interval_ * size(); }

    accept_queue_settings settings_;
    std::deque<entry> waiting_;
    instant updated_;
    micros late_{0}; ///< for how long the oldest connection has been late
    instant last_read_;
    micros read_interval_{0}; ///< moving average while the host is overloaded
    bool overloaded_ = false;
    std::optional<instant> last_overloaded_;
};

} // namespace hickorypost::gateway
