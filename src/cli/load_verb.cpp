#include "cli/load_text.h"
#include "hickorypost/platform/calls.h"
#include "hickorypost/platform/control_codec.h"
#include "operator_client.h"
#include "verbs.h"

#include <cstdlib>
#include <getopt.h>
#include <iostream>

namespace hickorypost {

namespace {

constexpr int option_control = 'c';
constexpr unsigned http_ok = 200;

/// Prints one host's reply.
exit_code show(const std::string& url, const operator_reply& reply)
{
    if (reply.status == 0) {
        std::cerr << "hickorypost: " << url << ": " << reply.body << "\n";
        return exit_code::unreachable;
    }
    if (reply.status != http_ok) {
        std::cerr << "hickorypost: " << url << ": status " << reply.status << " " << reply.body
                  << "\n";
        return exit_code::refused;
    }
    return value_or_handle<platform::body_error>(
        [&]() -> result<exit_code> {
            BOOST_LEAF_AUTO(load, platform::decode_load(reply.body));
            std::cout << format_load(load);
            return exit_code::done;
        },
        [&](const platform::body_error& error) {
            std::cerr << "hickorypost: " << url << ": " << platform::describe(error) << "\n";
            return exit_code::refused;
        });
}

} // namespace

exit_code run_load(std::span<char*> args)
{
    static const option options[] = {{"control", required_argument, nullptr, option_control},
                                     {nullptr, 0, nullptr, 0}};
    auto control = split_commas(std::getenv("HICKORYPOST_CONTROL"));
    optind = 1;
    for (int it = 0; (it = getopt_long(static_cast<int>(args.size()), args.data(), "", options,
                                       nullptr)) != -1;) {
        if (it != option_control) {
            return exit_code::usage;
        }
        control = split_commas(optarg);
    }
    if (control.empty() || static_cast<std::size_t>(optind) < args.size()) {
        std::cerr << "expected --control URL[,URL...]\n";
        return exit_code::usage;
    }
    operator_client client{control, {}, {}};
    const auto replies = client.ask_all(std::string{platform::load_path});
    bool any_shown = false;
    bool any_refused = false;
    for (std::size_t n = 0; n < replies.size(); ++n) {
        const auto code = show(control[n], replies[n]);
        any_shown = any_shown || code == exit_code::done;
        any_refused = any_refused || code == exit_code::refused;
    }
    if (any_refused) {
        return exit_code::refused;
    }
    return any_shown ? exit_code::done : exit_code::unreachable;
}

} // namespace hickorypost
