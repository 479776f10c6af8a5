/// Drives the product's decision classes against modelled engines and compares them with baselines,
/// on the same scenarios and seeds. Prints a table, or CSV with --csv.

#include "cascade_run.h"
#include "fleet_run.h"
#include "rollout_run.h"

#include <array>
#include <cstdio>
#include <cstdlib>
#include <getopt.h>
#include <iostream>
#include <memory>

namespace {

using namespace hickorypost;
using namespace hickorypost::experiment;

struct run_options {
    std::string scenario_file;
    std::uint64_t seed = 1;
    std::size_t seeds = 10;
    bool csv = false;
    bool per_account = false;
};

struct named_policy {
    const char* name;
    routing::policy how;
};

constexpr std::array policies{
    named_policy{"expected_time", routing::policy::expected_time},
    named_policy{"power_of_two", routing::policy::power_of_two},
    named_policy{"least_in_flight", routing::policy::least_in_flight},
    named_policy{"round_robin", routing::policy::round_robin},
    named_policy{"random", routing::policy::random},
};

/// Median and range over the seeds.
std::string spread(const std::vector<double>& values)
{
    std::array<char, 64> buf{};
    std::snprintf(buf.data(), buf.size(), "%.4g (%.4g-%.4g)", quantile(values, 0.5),
                  quantile(values, 0), quantile(values, 1));
    return buf.data();
}

class table {
public:
    table(bool csv, const std::vector<std::string>& head) : csv_{csv} { row(head); }
    void row(const std::vector<std::string>& cells) const
    {
        for (std::size_t n = 0; n < cells.size(); ++n) {
            if (csv_) {
                std::printf("%s%s", n == 0 ? "" : ",", cells[n].c_str());
            } else {
                std::printf("%-*s", n == 0 ? 30 : 24, cells[n].c_str());
            }
        }
        std::printf("\n");
    }

private:
    bool csv_;
};

void compare_routing(const scenario& s, const run_options& options)
{
    const table out{options.csv,
                    {"policy", "ttft p50 ms", "ttft p95 ms", "ttft p99 ms", "gap p95 ms",
                     "in deadline", "rejected", "retried"}};
    for (const auto& [name, how] : policies) {
        std::map<std::string, std::array<std::vector<double>, 7>> columns;
        for (std::size_t n = 0; n < options.seeds; ++n) {
            const auto result = run_fleet(s, how, options.seed + n);
            const auto add = [&](const std::string& label, const account_result& it) {
                auto& to = columns[label];
                const double sent = std::max(1.0, static_cast<double>(it.sent));
                to[0].push_back(quantile(it.first_ms, 0.5));
                to[1].push_back(quantile(it.first_ms, 0.95));
                to[2].push_back(quantile(it.first_ms, 0.99));
                to[3].push_back(quantile(it.gap_ms, 0.95));
                to[4].push_back(static_cast<double>(it.in_time) / sent);
                to[5].push_back(static_cast<double>(it.rejected) / sent);
                to[6].push_back(static_cast<double>(it.retried) / sent);
            };
            add(name, result.all());
            if (options.per_account) {
                for (const auto& [account, it] : result.accounts) {
                    add(std::string{name} + "/" + account, it);
                }
            }
        }
        for (const auto& [label, it] : columns) {
            std::vector<std::string> cells{label};
            for (const auto& values : it) {
                cells.push_back(spread(values));
            }
            out.row(cells);
        }
    }
}

void compare_rollout(const scenario& s, const run_options& options)
{
    const table out{
        options.csv,
        {"policy", "answers on new", "bad on new", "full at s", "halted at s", "halts"}};
    for (const bool sequential : {true, false}) {
        std::array<std::vector<double>, 4> columns;
        std::size_t halts = 0;
        for (std::size_t n = 0; n < options.seeds; ++n) {
            const auto it = run_rollout(
                s, sequential ? rollout_policy::sequential : rollout_policy::fixed_steps,
                options.seed + n);
            columns[0].push_back(static_cast<double>(it.answers_on_new));
            columns[1].push_back(static_cast<double>(it.bad_on_new));
            columns[2].push_back(it.full_at_s);
            columns[3].push_back(it.halted_at_s);
            halts += it.halted_at_s >= 0 ? 1U : 0U;
        }
        out.row({sequential ? "sequential" : "fixed_steps", spread(columns[0]), spread(columns[1]),
                 spread(columns[2]), spread(columns[3]),
                 std::to_string(halts) + " of " + std::to_string(options.seeds)});
    }
}

void compare_cascade(const scenario& s, const run_options& options)
{
    const table out{options.csv, {"policy", "cost per answer", "quality"}};
    constexpr std::array names{"learned", "always_cheap", "always_strong", "fixed_cascade"};
    for (std::size_t how = 0; how < names.size(); ++how) {
        std::vector<double> cost;
        std::vector<double> quality;
        for (std::size_t n = 0; n < options.seeds; ++n) {
            const auto it = run_cascade(s, static_cast<cascade_choice>(how), options.seed + n);
            cost.push_back(it.cost);
            quality.push_back(it.quality);
        }
        out.row({names[how], spread(cost), spread(quality)});
    }
}

run_options parse(int argc, char** argv)
{
    static const std::array options{
        option{"scenario", required_argument, nullptr, 'f'},
        option{"seed", required_argument, nullptr, 's'},
        option{"seeds", required_argument, nullptr, 'n'},
        option{"csv", no_argument, nullptr, 'c'},
        option{"accounts", no_argument, nullptr, 'a'},
        option{nullptr, 0, nullptr, 0},
    };
    run_options out;
    for (int it = 0; (it = getopt_long(argc, argv, "", options.data(), nullptr)) != -1;) {
        switch (it) {
        case 'f':
            out.scenario_file = optarg;
            break;
        case 's':
            out.seed = std::strtoull(optarg, nullptr, 10);
            break;
        case 'n':
            out.seeds = std::max<std::size_t>(1, std::strtoull(optarg, nullptr, 10));
            break;
        case 'c':
            out.csv = true;
            break;
        case 'a':
            out.per_account = true;
            break;
        default:
            std::exit(2);
        }
    }
    return out;
}

} // namespace

int main(int argc, char** argv)
{
    const run_options options = parse(argc, argv);
    const auto loaded = load_scenario(options.scenario_file);
    if (!loaded) {
        std::cerr << "experiment --scenario FILE.ini [--seed N] [--seeds N] [--csv] [--accounts]\n";
        return 2;
    }
    std::printf("%s, seeds %llu to %llu: median (range)\n", loaded->name.c_str(),
                static_cast<unsigned long long>(options.seed),
                static_cast<unsigned long long>(options.seed + options.seeds - 1));
    switch (loaded->kind) {
    case scenario_kind::routing:
        compare_routing(*loaded, options);
        break;
    case scenario_kind::rollout:
        compare_rollout(*loaded, options);
        break;
    case scenario_kind::cascade:
        compare_cascade(*loaded, options);
        break;
    }
    return 0;
}
