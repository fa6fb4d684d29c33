// Tests of the platform client against the stand-in, in one event loop.
#include "gypsumstep/platform/client.h"
#include "platform_server.h"

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QTcpServer>

#include <catch2/catch.hpp>

#include <optional>

using namespace gypsumstep;

namespace {

constexpr qint64 wait_cap_ms = 30'000;

struct fixture {
    int argc{0};
    QCoreApplication application{argc, nullptr};
    standin::platform_server server;
    std::uint16_t port{server.listen("127.0.0.1", 0)};
    platform::client_options options;

    fixture()
    {
        options.url = "http://127.0.0.1:" + std::to_string(port);
        options.reads = {1000.0, 1000.0};
        options.writes = {1000.0, 1000.0};
        options.wait = {1ms, 2ms};
    }
};

/// Runs the event loop until the request's handler was called.
template <class T, class Start>
result<T> await(Start start)
{
    std::optional<result<T>> answer;
    start([&](result<T> value) { answer = std::move(value); });
    QElapsedTimer timer;
    timer.start();
    while (!answer && timer.elapsed() < wait_cap_ms) {
        QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
    }
    REQUIRE(answer.has_value());
    return *answer;
}

result<platform::table_row> get(platform::client& client, const std::string& key)
{
    return await<platform::table_row>([&](auto done) { client.get(key, done); });
}

result<platform::write_outcome> write(platform::client& client, const platform::table_write& value)
{
    return await<platform::write_outcome>([&](auto done) { client.compare_and_set(value, done); });
}

} // namespace

TEST_CASE_METHOD(fixture, "rows are read and written by version")
{
    platform::client client{options, 1};
    CHECK(get(client, "config/head").error().code == error_code::not_found);
    CHECK(write(client, {"config/head", 0, {{"a", 1}}}).value().applied);
    CHECK(get(client, "config/head").value() == platform::table_row{"config/head", 1, {{"a", 1}}});

    const auto stale = write(client, {"config/head", 0, 2}).value();
    CHECK_FALSE(stale.applied);
    CHECK(stale.current == platform::table_row{"config/head", 1, {{"a", 1}}});
}

TEST_CASE_METHOD(fixture, "a transaction applies all writes or none")
{
    platform::client client{options, 1};
    const auto transact = [&](std::vector<platform::table_write> writes) {
        return await<platform::write_outcome>([&](auto done) { client.transact(writes, done); });
    };
    CHECK(transact({{"a b", 0, 1}, {"c%", 0, 2}}).value().applied);
    CHECK_FALSE(transact({{"a b", 1, 3}, {"c%", 0, 4}}).value().applied);
    CHECK(get(client, "a b").value().value == 1);
    CHECK(get(client, "c%").value().value == 2);
}

TEST_CASE_METHOD(fixture, "objects keep every byte")
{
    platform::client client{options, 1};
    const std::string bytes{"a\0b\r\n\xff", 6};
    CHECK(await<std::string>([&](auto done) { client.put_object("o/1", bytes, done); }));
    CHECK(await<std::string>([&](auto done) { client.get_object("o/1", done); }).value() == bytes);
}

TEST_CASE_METHOD(fixture, "a write whose answer is lost is reported unknown and sent once")
{
    platform::client client{options, 1};
    // A connection that was used before is where QNetworkAccessManager would send again.
    CHECK(write(client, {"warm", 0, 1}));
    server.set_faults({.lose_answers = true});
    CHECK(write(client, {"row", 0, 7}).error().code == error_code::timeout);
    CHECK(server.counters().writes == 2);
    CHECK(client.counters().writes == 2);
    CHECK(get(client, "row").value().value == 7);
}

TEST_CASE_METHOD(fixture, "a late answer to a write is reported unknown")
{
    options.write_timeout = 30ms;
    platform::client client{options, 1};
    server.set_faults({.delay_ms = 2'000});
    CHECK(write(client, {"row", 0, 7}).error().code == error_code::timeout);
    CHECK(server.counters().writes == 1);
}

TEST_CASE_METHOD(fixture, "an outage ends a write at once and a read after its attempts")
{
    platform::client client{options, 1};
    server.set_faults({.outage = true});
    CHECK(write(client, {"row", 0, 7}).error().code == error_code::unavailable);
    CHECK(get(client, "row").error().code == error_code::unavailable);
    CHECK(client.counters() == platform::client_counters{3, 1, 0});
}

TEST_CASE_METHOD(fixture, "a write that was never sent is sent again")
{
    QTcpServer closed;
    REQUIRE(closed.listen(QHostAddress::LocalHost));
    options.url = "http://127.0.0.1:" + std::to_string(closed.serverPort());
    closed.close();
    platform::client client{options, 1};
    CHECK(write(client, {"row", 0, 7}).error().code == error_code::unavailable);
    CHECK(client.counters().writes == 3);
}

TEST_CASE_METHOD(fixture, "requests over the budget are not sent")
{
    options.reads = {0.001, 1.0};
    platform::client client{options, 1};
    CHECK(get(client, "row").error().code == error_code::not_found);
    CHECK(get(client, "row").error().code == error_code::refused);
    CHECK(server.counters().reads == 1);
    CHECK(client.counters().over_budget == 1);
}
