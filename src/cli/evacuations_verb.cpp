#include "operator_client.h"
#include "verbs.h"

#include <cstdlib>
#include <getopt.h>
#include <iostream>
#include <nlohmann/json.hpp>

namespace hickorypost {

namespace {

constexpr int option_control = 'c';
constexpr int option_begin = 'b';
constexpr int option_end = 'e';
constexpr unsigned http_ok = 200;
const std::string path = "/hickorypost/evacuations";

/// Percent-encodes all bytes except letters, digits and `-._~`.
std::string percent_encode(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    constexpr std::string_view unreserved = "-._~";
    constexpr unsigned bits_per_digit = 4;
    constexpr unsigned low_digit = 0xF;
    std::string out;
    for (const char it : text) {
        const auto byte = static_cast<unsigned char>(it);
        if (std::isalnum(byte) != 0 || unreserved.find(it) != std::string_view::npos) {
            out += it;
        } else {
            out += '%';
            out += digits[byte >> bits_per_digit];
            out += digits[byte & low_digit];
        }
    }
    return out;
}

exit_code show(const operator_reply& reply)
{
    const auto json = nlohmann::json::parse(reply.body, nullptr, false);
    if (reply.status != http_ok || !json.is_object() || !json.contains("Zones")) {
        std::cerr << "hickorypost: " << reply.body << "\n";
        return exit_code::refused;
    }
    for (const auto& it : json["Zones"]) {
        std::cout << it.get<std::string>() << "\n";
    }
    return exit_code::done;
}

} // namespace

exit_code run_evacuations(std::span<char*> args)
{
    static const option options[] = {{"control", required_argument, nullptr, option_control},
                                     {"begin", required_argument, nullptr, option_begin},
                                     {"end", required_argument, nullptr, option_end},
                                     {nullptr, 0, nullptr, 0}};
    auto control = split_commas(std::getenv("HICKORYPOST_CONTROL"));
    std::string domain;
    const char* method = nullptr;
    optind = 1;
    for (int it = 0; (it = getopt_long(static_cast<int>(args.size()), args.data(), "", options,
                                       nullptr)) != -1;) {
        if (it == option_control) {
            control = split_commas(optarg);
        } else if (it != option_begin && it != option_end) {
            return exit_code::usage;
        } else if (method != nullptr) {
            std::cerr << "hickorypost: expected one of --begin and --end, once\n";
            return exit_code::usage;
        } else {
            method = it == option_begin ? "POST" : "DELETE";
            domain = optarg;
        }
    }
    operator_client client{control, {}, {}};
    return value_or_handle<operator_error>(
        [&]() -> result<exit_code> {
            if (method == nullptr) {
                BOOST_LEAF_AUTO(reply, client.ask_leader("GET", path, {}));
                return show(reply);
            }
            BOOST_LEAF_AUTO(reply,
                            client.ask_leader(method, path + "/" + percent_encode(domain), {}));
            if (reply.status == http_ok) {
                std::cout << domain << ": acknowledged\n";
                return exit_code::done;
            }
            std::cerr << domain << ": " << reply.body << "\n";
            return exit_code::refused;
        },
        [](const operator_error& error) {
            std::cerr << "hickorypost: " << error.message << "\n";
            return exit_code::unreachable;
        });
}

} // namespace hickorypost
