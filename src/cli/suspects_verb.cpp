#include "operator_client.h"
#include "verbs.h"

#include <cstdio>
#include <cstdlib>
#include <getopt.h>
#include <iostream>
#include <nlohmann/json.hpp>

namespace hickorypost {

namespace {

constexpr int option_control = 'c';
constexpr int option_clear = 'x';
constexpr unsigned http_ok = 200;
const std::string path = "/hickorypost/suspects";

exit_code show(const operator_reply& reply)
{
    const auto json = nlohmann::json::parse(reply.body, nullptr, false);
    if (reply.status != http_ok || !json.is_object() || !json.contains("Suspects")) {
        std::cerr << "hickorypost: " << reply.body << "\n";
        return exit_code::refused;
    }
    std::printf("%-32s  %7s  %7s  %11s  %s  %s\n", "identity", "crashes", "refused", "last, s ago",
                "backends", "prompt part");
    for (const auto& it : json["Suspects"]) {
        std::string backends;
        for (const auto& backend : it.at("Backends")) {
            backends += (backends.empty() ? "" : ",") + backend.get<std::string>();
        }
        std::printf("%-32s  %7u  %7s  %11.1f  %s  %s\n",
                    it.at("Identity").get<std::string>().c_str(), it.at("Crashes").get<unsigned>(),
                    it.at("Refused").get<bool>() ? "yes" : "no", it.at("SinceLastS").get<double>(),
                    backends.c_str(), it.value("Part", std::string{"-"}).c_str());
    }
    return exit_code::done;
}

} // namespace

exit_code run_suspects(std::span<char*> args)
{
    static const option options[] = {{"control", required_argument, nullptr, option_control},
                                     {"clear", required_argument, nullptr, option_clear},
                                     {nullptr, 0, nullptr, 0}};
    auto control = split_commas(std::getenv("HICKORYPOST_CONTROL"));
    std::string identity;
    optind = 1;
    for (int it = 0; (it = getopt_long(static_cast<int>(args.size()), args.data(), "", options,
                                       nullptr)) != -1;) {
        if (it == option_control) {
            control = split_commas(optarg);
        } else if (it == option_clear) {
            identity = optarg;
        } else {
            return exit_code::usage;
        }
    }
    operator_client client{control, {}, {}};
    return value_or_handle<operator_error>(
        [&]() -> result<exit_code> {
            if (identity.empty()) {
                BOOST_LEAF_AUTO(reply, client.ask_leader("GET", path, {}));
                return show(reply);
            }
            BOOST_LEAF_AUTO(reply, client.ask_leader("DELETE", path + "/" + identity, {}));
            if (reply.status == http_ok) {
                std::cout << identity << ": cleared on all hosts\n";
                return exit_code::done;
            }
            std::cerr << identity << ": " << reply.body << "\n";
            return exit_code::refused;
        },
        [](const operator_error& error) {
            std::cerr << "hickorypost: " << error.message << "\n";
            return exit_code::unreachable;
        });
}

} // namespace hickorypost
