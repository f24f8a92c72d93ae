#include "UnitTests/Scenario/Script.h"
#include "UnitTests/Scenario/World.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::Scenario;

namespace {

struct ScriptsFixture
{
    static std::string read(const std::filesystem::path &path)
    {
        std::ifstream file(path);
        std::ostringstream text;
        text << file.rdbuf();
        return text.str();
    }

    static std::vector<std::filesystem::path> scripts()
    {
        std::vector<std::filesystem::path> paths;
        const std::filesystem::path folder(std::string(TANAGERBAY_SOURCE_DIR) + "/Scenarios");
        for (const auto &entry : std::filesystem::directory_iterator(folder)) {
            if (entry.path().extension() == ".scn")
                paths.push_back(entry.path());
        }
        std::sort(paths.begin(), paths.end());
        return paths;
    }

    static std::string errorOf(const std::string &text)
    {
        try {
            runScript("x.scn", text);
        } catch (const ScriptError &error) {
            return error.what();
        }
        return "";
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Scenarios, ScriptsFixture)

BOOST_AUTO_TEST_CASE(scripts_all_meetExpectations)
{
    const auto paths = scripts();
    BOOST_TEST(paths.size() >= 30u);
    for (const auto &path : paths) {
        const auto failures = runScript(path.filename().string(), read(path));
        std::string text;
        for (const std::string &failure : failures)
            text += failure + "\n";
        BOOST_TEST(failures.empty(), text);
    }
}

BOOST_AUTO_TEST_CASE(scripts_invalid_reportFileLineAndExpectation)
{
    BOOST_TEST(errorOf("\nat 1s jump i1") == "x.scn:2: expected a verb, not jump");
    BOOST_TEST(errorOf("at 1x kill i1")
               == "x.scn:1: expected a duration such as 1500ms or 2.5s, not 1x");
    BOOST_TEST(errorOf("at 1s kill i9") == "x.scn:1: expected an instance such as i1, not i9");
    BOOST_TEST(errorOf("at 1s fault store odd for 1s")
               == "x.scn:1: expected one of down, black-hole, lose-replies, land-late, not odd");
    BOOST_TEST(errorOf("at 1s kill i1 i2") == "x.scn:1: expected the end of the line, not i2");
    BOOST_TEST(errorOf("at 1s") == "x.scn:1: expected a time and a verb after at");
}

BOOST_AUTO_TEST_CASE(scripts_wrongExpectation_isReported)
{
    BOOST_TEST(!runScript("x.scn", "at 1s call k at i1\nat 5s expect runs k 2\nrun 6s").empty());
}

BOOST_AUTO_TEST_SUITE_END()
