// Tests of the JSON lines, levels and redaction.
#include "gypsumstep/logging/logging.h"
#include "gypsumstep/logging/redaction.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <string>
#include <thread>
#include <vector>

using namespace gypsumstep;
using nlohmann::json;

namespace {

/// Captures the lines that one test logs.
class captured_log {
public:
    captured_log()
    {
        logging::options log_options;
        log_options.sink = [this](std::string_view line) { m_lines.emplace_back(line); };
        REQUIRE(logging::start(log_options).has_value());
    }
    ~captured_log() { logging::stop(); }
    captured_log(const captured_log&) = delete;
    captured_log& operator=(const captured_log&) = delete;

    [[nodiscard]] const std::vector<std::string>& lines() const { return m_lines; }

private:
    std::vector<std::string> m_lines;
};

} // namespace

TEST_CASE("a line is one JSON object with its fields")
{
    const captured_log log;
    const logging::logger mesh{"mesh"};
    mesh.warn("peer \"b\"\nlost", {{"request_id", std::uint64_t{18446744073709551615U}},
                                   {"peer", "10.1.1.12:6433"},
                                   {"share", 0.5},
                                   {"again", true},
                                   {"level", "x"},
                                   {"bytes", std::string_view{"\xff\x01"}}});
    REQUIRE(log.lines().size() == 1);
    CHECK_THAT(log.lines()[0], !Catch::Contains("\n"));
    const json line = json::parse(log.lines()[0]);
    CHECK(line["level"] == "warn");
    CHECK(line["component"] == "mesh");
    CHECK(line["message"] == "peer \"b\"\nlost");
    CHECK(line["request_id"] == 18446744073709551615U);
    CHECK(line["again"] == true);
    CHECK(line["level_"] == "x");
    CHECK_THAT(line["time"].get<std::string>(), Catch::Matches(R"(\d{4}-\d\d-\d\dT[\d:.]+Z)"));
}

TEST_CASE("the level can be changed at run time")
{
    const captured_log log;
    const logging::logger daemon{"daemon"};
    daemon.debug("unseen");
    CHECK_FALSE(logging::logger::enabled(logging::level::debug));
    logging::set_level(logging::level::debug);
    daemon.debug("seen");
    logging::set_level(logging::level::off);
    daemon.error("unseen");
    REQUIRE(log.lines().size() == 1);
    CHECK(json::parse(log.lines()[0])["message"] == "seen");
    CHECK(logging::parse_level("warn") == logging::level::warn);
    CHECK_FALSE(logging::parse_level("loud").has_value());
}

TEST_CASE("secrets in a line are redacted")
{
    const captured_log log;
    logging::register_secret("0123456789abcdef");
    logging::register_secret("0123456789abcdef-longer");
    logging::register_secret("a");
    const logging::logger operators{"operators"};
    operators.info("key 0123456789abcdef-longer refused",
                   {{"header", "Bearer 0123456789abcdef"}, {"password", "hunter2"}});
    REQUIRE(log.lines().size() == 1);
    const json line = json::parse(log.lines()[0]);
    CHECK(line["message"] == "key [redacted] refused");
    CHECK(line["header"] == "Bearer [redacted]");
    CHECK(line["password"] == "[redacted]");
}

TEST_CASE("lines of many threads are not interleaved")
{
    constexpr std::uint64_t thread_count = 4;
    constexpr std::uint64_t lines_per_thread = 200;
    const captured_log log;
    std::vector<std::thread> threads;
    threads.reserve(thread_count);
    for (std::uint64_t i = 0; i < thread_count; ++i) {
        threads.emplace_back([i] {
            const logging::logger writer{"writer-" + std::to_string(i)};
            for (std::uint64_t line = 0; line < lines_per_thread; ++line) {
                writer.info("line", {{"number", line}});
            }
        });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    CHECK(log.lines().size() == thread_count * lines_per_thread);
    for (const auto& line : log.lines()) {
        CHECK(json::accept(line));
    }
}

TEST_CASE("a log file that cannot be written is refused at the start")
{
    logging::options log_options;
    log_options.file = "no-such-directory/log.json";
    CHECK_FALSE(logging::start(log_options).has_value());
}
