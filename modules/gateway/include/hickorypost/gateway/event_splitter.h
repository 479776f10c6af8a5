#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hickorypost::gateway {

/// Splits the body of a `text/event-stream` answer into events and checks that their ids are
/// consecutive. Performs no I/O.
///
/// A backend server may stop in the middle of an event. The bytes that have been forwarded must end
/// with a complete event; otherwise the stream could not be resumed on another backend server
/// without losing or duplicating data.
class event_splitter {
public:
    /// Larger events are rejected.
    static constexpr std::size_t max_event_bytes = std::size_t{256} << 10U;

    /// Events with an id up to `after` have already been delivered and are dropped.
    explicit event_splitter(std::optional<std::uint64_t> after = std::nullopt) : last_id_{after} {}

    /// Appends received bytes. Returns the events that are now complete and are to be forwarded.
    std::string push(std::string_view bytes);
    /// Discards an incomplete event: the next bytes belong to another attempt, which resumes the
    /// stream after `last_id()`.
    void restart();

    [[nodiscard]] std::optional<std::uint64_t> last_id() const noexcept { return last_id_; }
    /// Whether the last event received is incomplete.
    [[nodiscard]] bool has_partial() const noexcept { return !partial_event_.empty(); }
    [[nodiscard]] std::size_t partial_bytes() const noexcept { return partial_event_.size(); }
    /// Number of forwarded events with an id.
    [[nodiscard]] std::uint64_t events() const noexcept { return events_; }
    /// Whether an event was larger than `max_event_bytes`; the bytes that follow are dropped.
    [[nodiscard]] bool too_large() const noexcept { return too_large_; }
    /// Whether an id was received that left a gap after `last_id()`.
    [[nodiscard]] bool out_of_order() const noexcept { return out_of_order_; }

private:
    /// Whether to forward an event.
    bool accept(std::string_view event);

    std::string partial_event_;
    std::size_t searched_ = 0; ///< bytes of `partial_event_` in which no event ends
    bool too_large_ = false;
    std::optional<std::uint64_t> last_id_;
    std::uint64_t events_ = 0;
    bool out_of_order_ = false;
};

} // namespace hickorypost::gateway
