#include "settings.h"

#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace {

using namespace hickorypost;

/// A settings file of a gateway host, removed at the end of its scope.
class settings_file {
public:
    explicit settings_file(const std::string& weights)
    {
        std::ofstream{path_} << "[node]\nname = n\nfailure_domain = d\n[tls]\nmode = off\n"
                                "[gateway]\ncallers = 127.0.0.1:1\nready = 127.0.0.1:2\n"
                                "control = 127.0.0.1:3\ninternal = 127.0.0.1:4\n"
                                "account_weights = "
                             << weights << "\n";
    }
    ~settings_file() { std::filesystem::remove(path_); }
    settings_file(const settings_file&) = delete;
    settings_file& operator=(const settings_file&) = delete;

    [[nodiscard]] const std::string& path() const { return path_; }

private:
    std::string path_ = (std::filesystem::temp_directory_path() /
                         ("account_weights_" + std::to_string(getpid()) + ".ini"))
                            .string();
};

using weight_map = std::map<std::string, double>;

/// The weights in the file, or nothing if it has an error; then `error` describes it.
std::optional<weight_map> read_weights(const std::string& text, std::string& error)
{
    const settings_file file{text};
    return value_or_handle<settings_error>(
        [&]() -> result<std::optional<weight_map>> {
            BOOST_LEAF_AUTO(config, load_settings(file.path()));
            return std::optional{config.gateway->account_weights};
        },
        [&](const settings_error& it) {
            error = describe(it);
            return std::optional<weight_map>{};
        });
}

} // namespace

BOOST_AUTO_TEST_SUITE(account_weights)

BOOST_AUTO_TEST_CASE(weights_are_read_by_account_name)
{
    std::string error;
    BOOST_TEST((read_weights("", error) == weight_map{}));
    BOOST_TEST((read_weights("a:2", error) == weight_map{{"a", 2}}));
    BOOST_TEST(
        (read_weights("a:0.5, team:b:100", error) == weight_map{{"a", 0.5}, {"team:b", 100}}));
    BOOST_TEST(error.empty());
}

// Guards against a typing error that gives an account no share, or all of the capacity, or that
// is silently ignored.
BOOST_AUTO_TEST_CASE(invalid_weights_are_an_error_that_names_the_entry)
{
    for (const std::string entry :
         {"a", "a:", ":2", "a:0", "a:-1", "a:101", "a:nan", "a:inf", "a:1x", "a :1", "b:1"}) {
        std::string error;
        BOOST_TEST(!read_weights("b:1," + entry, error).has_value());
        const std::string named = "[gateway] account_weights: expected NAME:WEIGHT";
        BOOST_TEST(error.find(named) != std::string::npos);
        BOOST_TEST(error.find("not \"" + entry + "\"") != std::string::npos);
    }
}

BOOST_AUTO_TEST_SUITE_END()
