#include "schedule.h"

#include <algorithm>
#include <array>

namespace hickorypost::proof {

namespace {

constexpr std::size_t fault_count = static_cast<std::size_t>(fault::count_);
constexpr std::size_t step_count = static_cast<std::size_t>(step::count_);
constexpr std::size_t requests_per_run = 24;

constexpr std::array<std::string_view, fault_count> fault_names{
    "crash",  "crash past leases", "lost disk",      "cut",  "one-way cut",
    "freeze", "silent connection", "operators race", "leave"};

/// Who can be hit besides the node at the step itself.
constexpr std::array<const char*, 9> targets{"", "c1", "c2", "c3", "e1", "e2", "a1", "a2", "a3"};

std::vector<node_id> others(world& w, const node_id& node)
{
    std::vector<node_id> out;
    for (const auto* list : {&w.controls(), &w.entries(), &w.agents()}) {
        for (const auto& it : *list) {
            if (it != node) {
                out.push_back(it);
            }
        }
    }
    return out;
}

void put(world& w, fault what, const node_id& node)
{
    sim_net& net = w.net();
    const bool control =
        std::find(w.controls().begin(), w.controls().end(), node) != w.controls().end();
    const auto restart_after = [&](std::int64_t ms) {
        net.at(millis{ms}, [&w, node] { w.restart(node); });
    };
    switch (what) {
    case fault::crash:
        w.crash(node);
        restart_after(static_cast<std::int64_t>(20 + net.pick(400)));
        return;
    case fault::crash_long:
        w.crash(node);
        restart_after(4000);
        return;
    case fault::lose_disk:
        // Two lost disks of three, before the first is repaired, are beyond any group of three.
        if (control && w.disks_whole()) {
            w.lose_disk(node);
        } else {
            w.crash(node);
        }
        restart_after(static_cast<std::int64_t>(200 + net.pick(1500)));
        return;
    case fault::cut:
    case fault::cut_one_way:
        for (const auto& it : others(w, node)) {
            net.cut(node, it);
            if (what == fault::cut) {
                net.cut(it, node);
            }
        }
        net.at(millis{5000}, [&w] { w.net().heal(); });
        return;
    case fault::freeze:
        net.freeze(node, millis{static_cast<std::int64_t>(500 + net.pick(4000))});
        return;
    case fault::silence:
        for (const auto& it : others(w, node)) {
            net.silence(node, it);
        }
        return;
    case fault::operators_race:
        w.withdraw_or_restore(true);
        return;
    case fault::leave: {
        const node_id agent = node.starts_with("a") ? node : node_id{"a2"};
        w.announce_leaving(agent, true);
        return;
    }
    case fault::count_:
        return;
    }
}

} // namespace

std::string_view name_of(fault f) noexcept
{
    return fault_names[static_cast<std::size_t>(f)];
}

std::string describe(const schedule& s)
{
    std::string out = "seed " + std::to_string(s.seed);
    for (const auto& it : s.faults) {
        out += "; ";
        out += name_of(it.what);
        out += " of ";
        out += it.target.empty() ? "the node there" : it.target;
        out += " at ";
        out += name_of(it.where);
        out += " no. " + std::to_string(it.nth);
    }
    return out;
}

schedule_result run(const schedule& s)
{
    schedule_result out;
    world w{{.seed = s.seed, .broken = s.broken}};
    if (!w.settle()) {
        out.violations.push_back({"the system starts", "no group was founded in time", {}});
        out.log = w.so_far().log;
        return out;
    }
    std::array<std::size_t, step_count> reached{};
    w.on_step = [&](step at, const node_id& node) {
        const std::size_t n = ++reached[static_cast<std::size_t>(at)];
        for (const auto& it : s.faults) {
            if (it.where == at && it.nth == n) {
                ++out.placed;
                const node_id target = it.target.empty() ? node : it.target;
                put(w, it.what, target);
            }
        }
    };
    for (std::size_t n = 0; n < requests_per_run; ++n) {
        w.send_request(n % 3 == 0, n % 4 == 1);
        if (n == requests_per_run / 2) {
            w.withdraw_or_restore(false);
        }
        w.run_for(millis{static_cast<std::int64_t>(w.net().pick(n % 8 == 7 ? 2500 : 120))});
    }
    const history& h = w.finish();
    for (const auto& checker : all_checkers()) {
        for (auto& it : checker.check(h)) {
            out.violations.push_back(std::move(it));
        }
    }
    out.requests = requests_per_run;
    out.starts = h.starts.size();
    out.complete = static_cast<std::size_t>(
        std::count_if(h.told.begin(), h.told.end(), [](const auto& it) { return it.complete; }));
    out.log = h.log;
    return out;
}

std::size_t matrix_size() noexcept
{
    return fault_count * step_count;
}

schedule nth_schedule(std::uint64_t seed, std::size_t n)
{
    const auto random = seeded_random_fn(seed * 1'000'003 + n);
    schedule out;
    out.seed = random();
    const auto random_fault = [&] {
        placed_fault it;
        it.where = static_cast<step>(random() % step_count);
        it.nth = 1 + random() % 12;
        it.what = static_cast<fault>(random() % fault_count);
        it.target = targets[random() % targets.size()];
        return it;
    };
    if (n < matrix_size()) {
        placed_fault it;
        it.where = static_cast<step>(n / fault_count);
        it.what = static_cast<fault>(n % fault_count);
        it.nth = 1 + random() % 6;
        out.faults.push_back(it);
        return out;
    }
    const std::size_t faults = 2 + random() % 3;
    for (std::size_t k = 0; k < faults; ++k) {
        out.faults.push_back(random_fault());
    }
    return out;
}

schedule shorten(const schedule& s)
{
    schedule best = s;
    for (std::size_t n = 0; n < best.faults.size();) {
        schedule shorter = best;
        shorter.faults.erase(shorter.faults.begin() + static_cast<std::ptrdiff_t>(n));
        if (!run(shorter).violations.empty()) {
            best = shorter;
        } else {
            ++n;
        }
    }
    return best;
}

} // namespace hickorypost::proof
