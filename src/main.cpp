/// The one binary: picks the verb and runs it.

#include "verbs.h"

#include <algorithm>
#include <iostream>

namespace {

using hickorypost::exit_code;

void print_overview()
{
    std::cout << "hickorypost VERB [options]\n\n";
    for (const auto& it : hickorypost::all_verbs()) {
        std::cout << "  " << it.name << std::string(12 - it.name.size(), ' ') << it.summary << "\n";
    }
    std::cout << "\nhickorypost help VERB shows a verb's options with an example.\n";
}

const hickorypost::verb* find_verb(std::string_view name)
{
    const auto verbs = hickorypost::all_verbs();
    const auto it = std::find_if(verbs.begin(), verbs.end(),
                                 [&](const auto& verb) { return verb.name == name; });
    return it == verbs.end() ? nullptr : &*it;
}

exit_code dispatch(std::span<char*> args)
{
    const std::string_view name = args.size() > 1 ? args[1] : "help";
    if (name == "--version" || name == "version") {
        std::cout << "hickorypost " HICKORYPOST_VERSION "\n";
        return exit_code::done;
    }
    const bool help = name == "help" || name == "--help" || name == "-h";
    const auto* verb = find_verb(help && args.size() > 2 ? std::string_view{args[2]} : name);
    if (help && verb == nullptr) {
        print_overview();
        return args.size() > 2 ? exit_code::usage : exit_code::done;
    }
    if (verb == nullptr) {
        std::cerr << "hickorypost: no verb " << name << "; see hickorypost help\n";
        return exit_code::usage;
    }
    const auto rest = args.subspan(help ? 2 : 1);
    const bool wants_help = std::any_of(
        rest.begin(), rest.end(), [](const char* it) { return std::string_view{it} == "--help"; });
    if (help || wants_help) {
        std::cout << verb->help;
        return exit_code::done;
    }
    return verb->run(rest);
}

} // namespace

int main(int argc, char** argv)
{
    return static_cast<int>(dispatch({argv, static_cast<std::size_t>(argc)}));
}
