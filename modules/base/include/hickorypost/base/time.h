#pragma once
/// Time as the decision parts see it: a monotonic instant handed in by the caller, never read
/// inside.

#include <chrono>
#include <cstdint>
#include <functional>

namespace hickorypost {

/// A monotonic clock with microsecond steps; it has no `now()` because parts get time by parameter.
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

/// Hooks through which time and randomness reach the parts.
using clock_fn = std::function<instant()>;
using random_fn = std::function<std::uint64_t()>;
/// Milliseconds since the Unix epoch; used for stamps that people read, never for leases.
using wall_clock_fn = std::function<std::int64_t()>;

/// The process's own clocks and random source, for use by roles only.
clock_fn system_clock_fn();
/// Like the monotonic clock, but it goes on while the machine is suspended. For what is timed
/// against other hosts: a lease must not seem valid after a sleep that outlasted it.
clock_fn boot_clock_fn();
wall_clock_fn system_wall_clock_fn();
random_fn system_random_fn();

/// A deterministic source for tests and experiments.
random_fn seeded_random_fn(std::uint64_t seed);

/// Uniform in [0, 1) from a random hook.
double unit_random(const random_fn& random);

constexpr std::int64_t to_millis(micros d) noexcept
{
    return std::chrono::duration_cast<millis>(d).count();
}

} // namespace hickorypost
