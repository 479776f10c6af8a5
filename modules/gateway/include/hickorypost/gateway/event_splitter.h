#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hickorypost::gateway {

/// Cuts the body of a `text/event-stream` answer into whole events and watches their ids. Sans I/O.
///
/// A backend server may stop in the middle of an event. What has been passed on must end with a
/// whole one, or the stream could not go on elsewhere without a piece lost or doubled.
class event_splitter {
public:
    /// Events up to this id have been delivered and are dropped if they come again.
    explicit event_splitter(std::optional<std::uint64_t> after = std::nullopt) : last_id_{after} {}

    /// Takes bytes; gives the whole events that they complete.
    std::string push(std::string_view bytes);
    /// The next bytes are of another run, which goes on after the last event passed on.
    void restart() { pending_.clear(); }

    [[nodiscard]] std::optional<std::uint64_t> last_id() const noexcept { return last_id_; }
    /// Bytes of an event that is not complete.
    [[nodiscard]] bool has_partial() const noexcept { return !pending_.empty(); }
    [[nodiscard]] std::uint64_t events() const noexcept { return events_; }
    /// An event's id did not follow the one before.
    [[nodiscard]] bool out_of_order() const noexcept { return out_of_order_; }

private:
    bool accept(std::string_view event);

    std::string pending_;
    std::optional<std::uint64_t> last_id_;
    std::uint64_t events_ = 0;
    bool out_of_order_ = false;
};

} // namespace hickorypost::gateway
