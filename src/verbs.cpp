#include "verbs.h"

#include "hickorypost/base/ids.h"
#include "hickorypost/base/time.h"
#include "hickorypost/records/record_parser.h"
#include "operator_client.h"
#include "report_table.h"
#include "secret.h"
#include "settings.h"

#include <array>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <getopt.h>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <sstream>

namespace hickorypost {

std::vector<std::string> split_commas(const char* text)
{
    std::vector<std::string> out;
    std::stringstream in{text == nullptr ? "" : text};
    for (std::string it; std::getline(in, it, ',');) {
        out.push_back(it);
    }
    return out;
}

namespace {

constexpr unsigned http_ok = 200;
constexpr unsigned http_unauthorized = 401;

/// Options that the operators' verbs share.
struct operator_options {
    std::vector<std::string> control;
    std::string key;
    std::string authority;
    std::string change;
    std::string amends;
    std::string format = "table";
    std::string account;
    std::string from;
    std::string to;
    std::string model;
    std::string version;
    std::string name;
    std::string number = "1";
    bool details = false;
    std::vector<std::string> files;
    bool good = true;
};

std::optional<std::string> read_file(const std::string& path)
{
    std::ifstream in{path, std::ios::binary};
    if (!in) {
        return std::nullopt;
    }
    return std::string{std::istreambuf_iterator<char>{in}, {}};
}

void take_environment(operator_options& out)
{
    if (const char* control = std::getenv("HICKORYPOST_CONTROL"); control != nullptr) {
        out.control = split_commas(control);
    }
    if (const char* key = std::getenv("HICKORYPOST_OPERATOR_KEY"); key != nullptr) {
        out.key = key;
    }
    if (const char* authority = std::getenv("HICKORYPOST_AUTHORITY"); authority != nullptr) {
        out.authority = authority;
    }
}

operator_options parse_options(std::span<char*> args)
{
    static const std::array options{
        option{"control", required_argument, nullptr, 'c'},
        option{"key-file", required_argument, nullptr, 'k'},
        option{"authority", required_argument, nullptr, 'A'},
        option{"change", required_argument, nullptr, 'i'},
        option{"amends", required_argument, nullptr, 'a'},
        option{"format", required_argument, nullptr, 'f'},
        option{"account", required_argument, nullptr, 'u'},
        option{"from", required_argument, nullptr, 's'},
        option{"to", required_argument, nullptr, 'e'},
        option{"model", required_argument, nullptr, 'm'},
        option{"version", required_argument, nullptr, 'v'},
        option{"name", required_argument, nullptr, 'n'},
        option{"number", required_argument, nullptr, 'N'},
        option{"details", no_argument, nullptr, 'd'},
        option{nullptr, 0, nullptr, 0},
    };
    operator_options out;
    take_environment(out);
    optind = 1;
    for (int it = 0; (it = getopt_long(static_cast<int>(args.size()), args.data(), "",
                                       options.data(), nullptr)) != -1;) {
        switch (it) {
        case 'c':
            out.control = split_commas(optarg);
            break;
        case 'k':
            if (const auto key = read_file(optarg)) {
                out.key = key->substr(0, key->find_first_of("\r\n"));
            } else {
                std::cerr << optarg << ": cannot be read\n";
                out.good = false;
            }
            break;
        case 'A':
            out.authority = optarg;
            break;
        case 'i':
            out.change = optarg;
            break;
        case 'a':
            out.amends = optarg;
            break;
        case 'f':
            out.format = optarg;
            break;
        case 'u':
            out.account = optarg;
            break;
        case 's':
            out.from = optarg;
            break;
        case 'e':
            out.to = optarg;
            break;
        case 'm':
            out.model = optarg;
            break;
        case 'v':
            out.version = optarg;
            break;
        case 'n':
            out.name = optarg;
            break;
        case 'N':
            out.number = optarg;
            break;
        case 'd':
            out.details = true;
            break;
        default:
            out.good = false; // getopt_long has said which option
        }
    }
    for (std::size_t n = static_cast<std::size_t>(optind); n < args.size(); ++n) {
        out.files.emplace_back(args[n]);
    }
    return out;
}

operator_client client_of(const operator_options& options)
{
    return {options.control, options.key, options.authority};
}

/// Runs `ask` and turns what the client layer reports into an exit code.
template <class Ask>
exit_code with_reply(Ask&& ask)
{
    return value_or_handle<operator_error>(std::forward<Ask>(ask), [](const operator_error& error) {
        std::cerr << "hickorypost: " << error.message << "\n";
        return exit_code::unreachable;
    });
}

exit_code show_refusal(const operator_reply& reply)
{
    const auto json = nlohmann::json::parse(reply.body, nullptr, false);
    if (reply.status == http_unauthorized) {
        std::cerr << "hickorypost: not an operator's key (--key-file)\n";
    } else if (json.is_object() && json.contains("detail")) {
        std::cerr << json["detail"].get<std::string>() << "\n";
    } else {
        std::cerr << reply.body;
    }
    return exit_code::refused;
}

exit_code send_document(const operator_options& options, const std::string& document,
                        const std::string& source, const std::string& amends)
{
    std::string change = options.change;
    if (change.empty()) {
        change = random_hex(system_random_fn());
    }
    auto client = client_of(options);
    return with_reply([&]() -> result<exit_code> {
        BOOST_LEAF_AUTO(
            reply, client.ask_leader("POST", "/v1/records?change=" + change + "&amends=" + amends,
                                     document));
        if (reply.status == http_ok) {
            const auto json = nlohmann::json::parse(reply.body);
            std::cout << source << ": accepted as change " << change << " at index "
                      << json.at("index") << "\n";
            return exit_code::done;
        }
        std::cerr << source << ": refused (change " << change << "): ";
        return show_refusal(reply);
    });
}

exit_code send_files(const operator_options& options, bool amend)
{
    if (!options.good || options.files.empty() || (amend && options.amends.empty())) {
        std::cerr << (amend ? "expected --amends NUMBER and one record file\n"
                            : "expected one or more record files\n");
        return exit_code::usage;
    }
    auto code = exit_code::done;
    for (const auto& file : options.files) {
        const auto document = read_file(file);
        if (!document) {
            std::cerr << file << ": cannot be read\n";
            return exit_code::usage;
        }
        const bool valid = value_or_handle<records::record_error>(
            [&]() -> result<bool> {
                BOOST_LEAF_CHECK(records::parse_record(*document, file));
                return true;
            },
            [](const records::record_error& error) {
                std::cerr << records::describe(error) << "\n";
                return false;
            });
        const auto sent =
            valid ? send_document(options, *document, file, amend ? options.amends : "0")
                  : exit_code::refused;
        code = sent == exit_code::done ? code : sent;
    }
    return code;
}

/// A settings file or a record file, by its look.
bool check_file(const std::string& file)
{
    const auto text = read_file(file);
    if (!text) {
        std::cerr << file << ": cannot be read\n";
        return false;
    }
    const auto first = text->find_first_not_of(" \t\r\n");
    if (first != std::string::npos && (*text)[first] == '{') {
        return value_or_handle<records::record_error>(
            [&]() -> result<bool> {
                BOOST_LEAF_CHECK(records::parse_record(*text, file));
                return true;
            },
            [](const records::record_error& error) {
                std::cerr << records::describe(error) << "\n";
                return false;
            });
    }
    return value_or_handle<settings_error>(
        [&]() -> result<bool> {
            BOOST_LEAF_CHECK(load_settings(file));
            return true;
        },
        [](const settings_error& error) {
            std::cerr << describe(error) << "\n";
            return false;
        });
}

constexpr std::array verbs{
    verb{"entry", "run an entry host",
         "hickorypost entry FILE\n  Runs the [entry] section of a settings file.\n"
         "  Example: hickorypost entry /etc/hickorypost/entry.ini\n",
         run_role},
    verb{"agent", "run the process beside a backend server",
         "hickorypost agent FILE\n  Runs the [agent] section of a settings file.\n"
         "  Example: hickorypost agent /etc/hickorypost/agent.ini\n",
         run_role},
    verb{"control", "run a control host",
         "hickorypost control FILE\n  Runs the [control] section of a settings file.\n"
         "  Example: hickorypost control /etc/hickorypost/control.ini\n",
         run_role},
    verb{
        "gateway", "run a gateway host, which calls backend servers directly",
        "hickorypost gateway [FILE]\n"
        "  Runs the [gateway] section of a settings file; without FILE, of the one that the\n"
        "  variable HICKORYPOST_CONFIG names. SIGHUP: take over the changed file. SIGTERM: drain.\n"
        "  Example: hickorypost gateway /etc/hickorypost/gateway.ini\n",
        run_role},
    verb{"serve", "run every role that a settings file names, in one process",
         "hickorypost serve FILE\n  Example: hickorypost serve all-in-one.ini\n", run_role},
    verb{
        "history", "show one request's or configuration's story from log files",
        "hickorypost history --request ID | --config VERSION [--around-ms N] LOG...\n"
        "  Reads the logs of several gateway hosts and puts the lines in order; clocks may\n"
        "  disagree. Lines on the request's backend servers are shown from N ms (3000) before it.\n"
        "  Example: hickorypost history --request 9c41d07be2a35f68 /var/log/gateway-*.log\n",
        run_history},
    verb{"load", "show engines, waiting requests, rejections and accounts as each host sees them",
         "hickorypost load --control URL[,URL...]\n"
         "  Asks each of the hosts, by control address or HICKORYPOST_CONTROL. Requests, prefill "
         "and\n"
         "  KV cache of an engine are those of all hosts; waiting and rejected requests those of "
         "the\n"
         "  host that is asked.\n"
         "  Example: hickorypost load --control http://10.0.0.4:8080,http://10.0.0.5:8080\n",
         run_load},
    verb{"suspects",
         "list requests and prompt parts that may crash backend servers, and clear them",
         "hickorypost suspects --control URL[,URL...] [--clear IDENTITY]\n"
         "  Any gateway host answers for all; its control address, or HICKORYPOST_CONTROL.\n"
         "  A refused one is tried again after a minute, and later each time it fails.\n"
         "  Example: hickorypost suspects --control http://10.0.0.4:8080\n",
         run_suspects},
    verb{"evacuations", "list the evacuated failure domains, begin and end evacuations",
         "hickorypost evacuations --control URL[,URL...] [--begin DOMAIN | --end DOMAIN]\n"
         "  Backend servers in an evacuated failure domain get no further requests; requests that\n"
         "  run there are finished. An acknowledged change survives the loss of all hosts.\n"
         "  Example: hickorypost evacuations --control http://10.0.0.4:8080 --begin zone-a\n",
         run_evacuations},
    verb{"submit", "submit new records",
         "hickorypost submit [--change ID] FILE...\n"
         "  Sends record files. Sending the same --change again gets the first answer again.\n"
         "  Example: hickorypost submit account.json model.json\n",
         run_submit},
    verb{"amend", "amend a record",
         "hickorypost amend --amends NUMBER [--change ID] FILE\n"
         "  NUMBER is the record's number that you saw; the file carries a higher one.\n"
         "  Example: hickorypost amend --amends 3 account.json\n",
         run_amend},
    verb{"withdraw", "withdraw a version of a model",
         "hickorypost withdraw --model M --version V [--name N] [--number K --amends J]\n"
         "  Example: hickorypost withdraw --model skills --version 2\n",
         run_withdraw},
    verb{"records", "list the records with their state",
         "hickorypost records\n  Prints each record with `accepted` or `in force everywhere`.\n"
         "  Example: hickorypost records --control http://10.0.0.1:7001\n",
         run_records},
    verb{"status", "what each control host believes",
         "hickorypost status\n  Example: hickorypost status\n", run_status},
    verb{"report", "who got what, at what cost and with what outcome",
         "hickorypost report [--format table|csv|json] [--account A] [--from MS] [--to MS] "
         "[--details]\n"
         "  Example: hickorypost report --format csv --account kuzgun-store\n",
         run_report},
    verb{"check", "check settings and record files; runs nothing",
         "hickorypost check FILE...\n  Example: hickorypost check entry.ini account.json\n",
         run_check},
    verb{"settings", "print the settings page", "hickorypost settings\n", run_settings},
    verb{"mechanisms", "list what [gateway] switched_off may name", "hickorypost mechanisms\n",
         run_mechanisms},
    verb{"hash-key", "print the SHA-256 of a key read from standard input",
         "hickorypost hash-key\n  Example: printf %s my-key | hickorypost hash-key\n",
         run_hash_key},
};

} // namespace

std::span<const verb> all_verbs()
{
    return verbs;
}

exit_code run_submit(std::span<char*> args)
{
    return send_files(parse_options(args), false);
}

exit_code run_amend(std::span<char*> args)
{
    return send_files(parse_options(args), true);
}

exit_code run_withdraw(std::span<char*> args)
{
    const auto options = parse_options(args);
    if (!options.good || options.model.empty() || options.version.empty()) {
        std::cerr << "expected --model and --version\n";
        return exit_code::usage;
    }
    const std::string name =
        options.name.empty() ? options.model + "-" + options.version : options.name;
    const nlohmann::json document = {{"schema", 1},
                                     {"kind", "withdrawal"},
                                     {"name", name},
                                     {"number", std::strtoll(options.number.c_str(), nullptr, 10)},
                                     {"model", options.model},
                                     {"version", options.version}};
    return send_document(options, document.dump(2), "withdrawal " + name,
                         options.amends.empty() ? "0" : options.amends);
}

exit_code run_records(std::span<char*> args)
{
    const auto options = parse_options(args);
    if (!options.good) {
        return exit_code::usage;
    }
    auto client = client_of(options);
    return with_reply([&]() -> result<exit_code> {
        BOOST_LEAF_AUTO(reply, client.ask_leader("GET", "/v1/records", {}));
        if (reply.status != http_ok) {
            return show_refusal(reply);
        }
        for (const auto& it : nlohmann::json::parse(reply.body)) {
            std::printf("%-11s %-24s number %-6s %s\n", it["kind"].get<std::string>().c_str(),
                        it["name"].get<std::string>().c_str(), it["number"].dump().c_str(),
                        it["state"].get<std::string>().c_str());
        }
        return exit_code::done;
    });
}

exit_code run_status(std::span<char*> args)
{
    const auto options = parse_options(args);
    if (!options.good) {
        return exit_code::usage;
    }
    bool any = false;
    for (const auto& it : client_of(options).ask_all("/v1/status")) {
        any = any || it.status == http_ok;
        std::cout << (it.status == 0 ? "unreachable: " + it.body + "\n" : it.body);
    }
    return any ? exit_code::done : exit_code::unreachable;
}

exit_code run_report(std::span<char*> args)
{
    const auto options = parse_options(args);
    const bool known =
        options.format == "table" || options.format == "csv" || options.format == "json";
    if (!options.good || !known) {
        std::cerr << "--format: expected table, csv or json\n";
        return exit_code::usage;
    }
    auto client = client_of(options);
    return with_reply([&]() -> result<exit_code> {
        report_table table;
        std::size_t groups = 1;
        for (std::size_t group = 1; group <= groups; ++group) {
            const std::string path = "/v1/report?group=" + std::to_string(group) +
                                     "&account=" + options.account + "&from=" + options.from +
                                     "&to=" + options.to + (options.details ? "&details=1" : "");
            BOOST_LEAF_AUTO(reply, client.ask_leader("GET", path, {}));
            if (reply.status != http_ok) {
                return show_refusal(reply);
            }
            const auto json = nlohmann::json::parse(reply.body);
            groups = json.at("groups");
            table.add_group(json);
        }
        std::cout << (options.format == "csv"    ? table.as_csv()
                      : options.format == "json" ? table.as_json()
                                                 : table.as_table());
        return exit_code::done;
    });
}

exit_code run_check(std::span<char*> args)
{
    const auto options = parse_options(args);
    if (!options.good || options.files.empty()) {
        std::cerr << "expected one or more files\n";
        return exit_code::usage;
    }
    bool good = true;
    for (const auto& file : options.files) {
        const bool fine = check_file(file);
        std::cout << file << (fine ? ": good\n" : ": has faults\n");
        good = good && fine;
    }
    return good ? exit_code::done : exit_code::refused;
}

exit_code run_settings(std::span<char*>)
{
    std::cout << settings_page();
    return exit_code::done;
}

exit_code run_mechanisms(std::span<char*>)
{
    for (const auto& it : gateway::mechanisms()) {
        std::cout << it.name << ": " << it.about << "\n";
    }
    return exit_code::done;
}

exit_code run_hash_key(std::span<char*>)
{
    std::string key;
    std::getline(std::cin, key);
    std::cout << sha256_hex(key) << "\n";
    return exit_code::done;
}

} // namespace hickorypost
