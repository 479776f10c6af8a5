#pragma once

#include "checkers.h"
#include "world.h"

namespace hickorypost::proof {

enum class fault : std::uint8_t {
    crash,          ///< kill -9 and a restart a little later
    crash_long,     ///< a restart only after the leases have run out
    lose_disk,      ///< of a control host; of another process the same as a crash
    cut,            ///< from everyone, both ways
    cut_one_way,    ///< others do not hear it, it hears them
    freeze,         ///< past every lease
    silence,        ///< its open connections deliver nothing more, new ones work
    operators_race, ///< two changes with equal numbers, answers lost and resent
    leave,          ///< a backend server says that it is leaving
    count_,
};

std::string_view name_of(fault f) noexcept;

/// A fault put at the nth time that a step is reached.
struct placed_fault {
    step where = step::received;
    std::size_t nth = 1;
    fault what = fault::crash;
    node_id target; ///< empty: the node that reached the step
};

struct schedule {
    std::uint64_t seed = 1;
    std::vector<placed_fault> faults;
    sabotage broken = sabotage::none;
};

struct schedule_result {
    std::vector<violation> violations;
    std::size_t requests = 0;
    std::size_t starts = 0;
    std::size_t complete = 0;
    std::size_t placed = 0; ///< faults whose step was reached
    std::vector<std::string> log;
};

std::string describe(const schedule& s);

/// Runs one schedule from founding to the final report and checks every promise.
schedule_result run(const schedule& s);

/// The schedule with this number: all single faults at all steps first, then random pairs.
schedule nth_schedule(std::uint64_t seed, std::size_t n);
/// How many schedules place each fault at each step once.
std::size_t matrix_size() noexcept;

/// Drops faults as long as the violation stays.
schedule shorten(const schedule& s);

} // namespace hickorypost::proof
