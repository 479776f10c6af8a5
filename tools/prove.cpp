/// Runs the fault matrix and random schedules of faults over the product's sans-I/O parts, checks
/// the histories against every promise, and prints what was covered.

#include "schedule.h"

#include <array>
#include <atomic>
#include <cstdlib>
#include <getopt.h>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>

namespace {

using namespace hickorypost;
using namespace hickorypost::proof;

struct prove_options {
    std::uint64_t seed = 1;
    std::size_t schedules = 2000;
    std::string promise;
    unsigned threads = 8;
    std::optional<std::size_t> only;
    bool show_log = false;
};

prove_options parse(int argc, char** argv)
{
    static const std::array options{
        option{"seed", required_argument, nullptr, 's'},
        option{"schedules", required_argument, nullptr, 'n'},
        option{"promise", required_argument, nullptr, 'p'},
        option{"only", required_argument, nullptr, 'o'},
        option{"threads", required_argument, nullptr, 't'},
        option{"log", no_argument, nullptr, 'l'},
        option{nullptr, 0, nullptr, 0},
    };
    prove_options out;
    for (int it = 0; (it = getopt_long(argc, argv, "", options.data(), nullptr)) != -1;) {
        switch (it) {
        case 's':
            out.seed = std::strtoull(optarg, nullptr, 10);
            break;
        case 'n':
            out.schedules = std::strtoull(optarg, nullptr, 10);
            break;
        case 'p':
            out.promise = optarg;
            break;
        case 'o':
            out.only = std::strtoull(optarg, nullptr, 10);
            break;
        case 't':
            out.threads = static_cast<unsigned>(std::strtoul(optarg, nullptr, 10));
            break;
        case 'l':
            out.show_log = true;
            break;
        default:
            std::cerr << "prove [--seed N] [--schedules N] [--promise NAME] [--only K] [--log]\n";
            std::exit(2);
        }
    }
    return out;
}

struct totals {
    std::size_t schedules = 0;
    std::size_t requests = 0;
    std::size_t starts = 0;
    std::size_t complete = 0;
    std::size_t placed = 0;
    std::map<std::string, std::size_t> violations;
    std::optional<std::size_t> first_bad;
};

void show(const prove_options& options, std::size_t number)
{
    const schedule found = nth_schedule(options.seed, number);
    const schedule shorter = shorten(found);
    const auto result = run(shorter);
    std::cout << "schedule " << number << " (" << describe(found)
              << ")\nshortened to: " << describe(shorter) << "\n";
    for (const auto& it : result.violations) {
        std::cout << "  " << it.promise << ": " << it.what << " " << it.key << "\n";
        const auto request = it.key.substr(it.key.find('/') + 1) + " ";
        for (const auto& line : result.log) {
            const bool fault = line.find("crash") != std::string::npos ||
                               line.find("restart") != std::string::npos ||
                               line.find("lost") != std::string::npos ||
                               line.find("accepted") != std::string::npos;
            if (options.show_log || fault ||
                (line + " ").find(" " + request) != std::string::npos) {
                std::cout << "    " << line << "\n";
            }
        }
    }
}

} // namespace

int main(int argc, char** argv)
{
    const prove_options options = parse(argc, argv);
    if (options.only) {
        const auto result = run(nth_schedule(options.seed, *options.only));
        show(options, *options.only);
        return result.violations.empty() ? 0 : 1;
    }
    totals sum;
    std::mutex mutex;
    std::atomic<std::size_t> next{0};
    const auto work = [&] {
        for (std::size_t n = next++; n < options.schedules; n = next++) {
            const auto result = run(nth_schedule(options.seed, n));
            const std::scoped_lock lock{mutex};
            ++sum.schedules;
            sum.requests += result.requests;
            sum.starts += result.starts;
            sum.complete += result.complete;
            sum.placed += result.placed;
            for (const auto& it : result.violations) {
                if (options.promise.empty() || options.promise == it.promise) {
                    ++sum.violations[it.promise];
                    sum.first_bad = std::min(sum.first_bad.value_or(n), n);
                }
            }
        }
    };
    std::vector<std::jthread> pool;
    for (unsigned n = 0; n < options.threads; ++n) {
        pool.emplace_back(work);
    }
    pool.clear();
    std::cout << "seed " << options.seed << ": " << sum.schedules << " schedules ("
              << std::min(matrix_size(), options.schedules) << " single faults x steps, the rest "
              << "two to four faults), " << sum.placed << " faults placed, " << sum.requests
              << " requests, " << sum.starts << " starts, " << sum.complete << " whole answers\n";
    for (const auto& it : all_checkers()) {
        std::cout << it.name << ": " << sum.violations[std::string{it.name}] << " violations\n";
        sum.violations.erase(std::string{it.name});
    }
    for (const auto& [name, n] : sum.violations) {
        std::cout << name << ": " << n << " violations\n";
    }
    if (sum.first_bad) {
        show(options, *sum.first_bad);
        return 1;
    }
    return 0;
}
