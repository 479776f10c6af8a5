#pragma once
/// Time types for the modules without I/O, which get the current monotonic time from the caller and
/// never read a clock themselves.

#include <chrono>
#include <cstdint>
#include <functional>

namespace hickorypost {

/// A monotonic clock with microsecond resolution. It has no `now()`, because modules get the time
/// as a parameter.
struct monotonic_clock {
    using rep = std::int64_t;
    using period = std::micro;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<monotonic_clock>;
    static constexpr bool is_steady = true;
};

using instant = monotonic_clock::time_point;
using micros = monotonic_clock::duration;
using millis = std::chrono::duration<std::int64_t, std::milli>;

/// Callbacks that supply monotonic time and random numbers.
using clock_fn = std::function<instant()>;
using random_fn = std::function<std::uint64_t()>;
/// Returns milliseconds since the Unix epoch. For human-readable timestamps only, never for leases.
using wall_clock_fn = std::function<std::int64_t()>;

/// The clocks and the random source of the process. Only the process roles use them; modules get
/// them as parameters. This clock stops while the machine is suspended.
clock_fn system_clock_fn();
/// Like `system_clock_fn`, but the clock continues while the machine is suspended (CLOCK_BOOTTIME).
/// For deadlines shared with other hosts: a lease that expired during a suspend must not look
/// valid.
clock_fn boot_clock_fn();
wall_clock_fn system_wall_clock_fn();
random_fn system_random_fn();

/// A deterministic random source for tests and simulations.
random_fn seeded_random_fn(std::uint64_t seed);

/// Returns a number that is uniformly distributed in [0, 1).
double unit_random(const random_fn& random);

constexpr std::int64_t to_millis(micros d) noexcept
{
    return std::chrono::duration_cast<millis>(d).count();
}

} // namespace hickorypost
