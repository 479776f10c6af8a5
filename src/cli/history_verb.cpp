#include "cli/log_history.h"
#include "verbs.h"

#include <cstdio>
#include <fstream>
#include <getopt.h>
#include <iostream>
#include <sstream>

namespace hickorypost {

namespace {

constexpr int option_request = 'r';
constexpr int option_config = 'c';
constexpr int option_around = 'a';

void print(const log_line& it, std::int64_t first_ms)
{
    std::printf("%+8lld ms  %-20s %-18s %s\n", static_cast<long long>(it.corrected_ms - first_ms),
                it.node.c_str(), it.event.c_str(), it.text.c_str());
    if (it.corrected_ms != it.written_ms) {
        std::printf("             (its own clock: %+lld ms)\n",
                    static_cast<long long>(it.written_ms - it.corrected_ms));
    }
}

} // namespace

exit_code run_history(std::span<char*> args)
{
    static const option options[] = {{"request", required_argument, nullptr, option_request},
                                     {"config", required_argument, nullptr, option_config},
                                     {"around-ms", required_argument, nullptr, option_around},
                                     {nullptr, 0, nullptr, 0}};
    history_query query;
    optind = 1;
    for (int it = 0; (it = getopt_long(static_cast<int>(args.size()), args.data(), "", options,
                                       nullptr)) != -1;) {
        if (it == option_request) {
            query.request = optarg;
        } else if (it == option_config) {
            query.config_version = optarg;
        } else if (it == option_around) {
            query.around_ms = std::strtol(optarg, nullptr, 10);
        } else {
            return exit_code::usage;
        }
    }
    const auto names = args.subspan(static_cast<std::size_t>(optind));
    if (names.empty() || query.request.empty() == query.config_version.empty()) {
        std::cerr << "expected --request ID or --config VERSION, and log files\n";
        return exit_code::usage;
    }
    std::vector<std::string> files;
    for (const char* const name : names) {
        std::ifstream in{name, std::ios::binary};
        if (!in) {
            std::cerr << name << ": cannot be read\n";
            return exit_code::usage;
        }
        std::stringstream text;
        text << in.rdbuf();
        files.push_back(text.str());
    }
    const auto found = read_history(files, query);
    if (found.lines.empty()) {
        std::cerr << "no line tells of it; " << found.unreadable << " lines could not be read\n";
        return exit_code::refused;
    }
    for (const auto& it : found.lines) {
        print(it, found.lines.front().corrected_ms);
    }
    return exit_code::done;
}

} // namespace hickorypost
