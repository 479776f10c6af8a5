/// Tests of roles that start while an address or a data directory of theirs is taken.

#include "deployment.h"
#include "held_address.h"

#include <boost/test/unit_test.hpp>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <sys/file.h>
#include <unistd.h>

namespace {

using namespace hickorypost::testing;

constexpr std::chrono::milliseconds at_once{0};
constexpr std::chrono::milliseconds end_limit{40'000};

std::string text_of(const std::string& path)
{
    std::stringstream out;
    out << std::ifstream{path}.rdbuf();
    return out.str();
}

/// Value of `key` in the settings file of a node.
std::string setting(const deployment& site, const std::string& node, const std::string& key)
{
    const std::string text = text_of(site.path(node + ".ini"));
    const std::string start = "\n" + key + " = ";
    const auto at = text.find(start) + start.size();
    return text.substr(at, text.find('\n', at) - at);
}

std::size_t count_in_log(const deployment& site, const std::string& node, const std::string& part)
{
    const std::string text = text_of(site.path(node + ".log"));
    std::size_t out = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++out;
    }
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(start_wait)

// Guards against a process that ends because one of its addresses is taken for a moment.
BOOST_AUTO_TEST_CASE(each_role_waits_for_its_addresses)
{
    deployment site;
    BOOST_REQUIRE(site.start());
    const std::pair<std::string, std::string> listeners[] = {
        {"e1", "http"}, {"a1", "listen"}, {"a1", "http"}, {"c1", "listen"}, {"c1", "http"}};
    for (const auto& it : listeners) {
        const std::string& node = it.first;
        const std::string& key = it.second;
        BOOST_TEST_CONTEXT(node << ", " << key)
        {
            site.stop(node);
            held_address held{setting(site, node, key)};
            BOOST_REQUIRE(held.holds());
            const std::size_t waits = count_in_log(site, node, "start waits: ");
            const std::size_t starts = count_in_log(site, node, " up: ");
            site.start_node(node);
            BOOST_REQUIRE(eventually(
                [&] { return count_in_log(site, node, "start waits: ") == waits + 1; }, end_limit));
            BOOST_TEST(!site.node(node).wait(at_once));
            held.release();
            BOOST_TEST(eventually([&] { return count_in_log(site, node, " up: ") == starts + 1; },
                                  end_limit));
            BOOST_TEST(count_in_log(site, node, "start waits: ") == waits + 1);
        }
    }
    BOOST_TEST(eventually([&] { return site.control_is_fully_replicated(); }));
    BOOST_TEST(eventually([&] { return site.chat(0, "skills@1").status == 200; }));
}

// Guards against a control host that ends because its previous process still has the data
// directory, and against one that cannot be ended meanwhile.
BOOST_AUTO_TEST_CASE(control_host_waits_for_its_data_directory)
{
    deployment site;
    BOOST_REQUIRE(site.start());
    site.stop("c1");
    const int lock = ::open((site.path("c1") + "/lock").c_str(), O_RDWR | O_CLOEXEC);
    BOOST_REQUIRE(eventually([&] { return ::flock(lock, LOCK_EX | LOCK_NB) == 0; }));
    const auto waits = [&](std::size_t n) {
        return eventually([&] { return count_in_log(site, "c1", "start waits: ") == n; },
                          end_limit);
    };
    site.start_node("c1");
    BOOST_REQUIRE(waits(1));
    site.node("c1").signal(SIGTERM);
    BOOST_TEST((site.node("c1").wait(end_limit) == std::optional{0}));
    site.start_node("c1");
    BOOST_REQUIRE(waits(2));
    ::close(lock);
    BOOST_TEST(eventually([&] { return site.control_is_fully_replicated(); }));
}

BOOST_AUTO_TEST_SUITE_END()
