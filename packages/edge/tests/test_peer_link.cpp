// Tests of the messages between daemons: their encoding, and malformed datagrams.
#include "allowance_codec.h"
#include "event_loop.h"
#include "peer_codec.h"
#include "peer_link.h"

#include <catch2/catch.hpp>

#include <QCborArray>
#include <QCborValue>

using namespace gypsumstep;
using namespace gypsumstep::edge;
using namespace gypsumstep::edge::test;

namespace {

promotion::peer_message full_message()
{
    promotion::peer_message message;
    message.sender = "front-1";
    message.number = 7;
    message.is_answer = true;
    message.age = 70ms;
    message.claims = {{"ledger", 3, "i-1"}, {"other", 0, ""}};
    message.releases = {{"ledger", 3, "i-0", log_position{term{2}, 99}}, {"other", 1, "", {}}};
    message.guests = {"front-9"};
    return message;
}

std::uint16_t bind_free_port(QUdpSocket& socket)
{
    return socket.bind(QHostAddress::LocalHost, 0) ? socket.localPort() : 0;
}

} // namespace

TEST_CASE("a message between daemons is decoded as it was encoded")
{
    const auto decoded = decode_peer_message(encode_peer_message(full_message()));
    REQUIRE(decoded.has_value());
    CHECK(decoded.value() == full_message());
}

TEST_CASE("messages about allowances are decoded as they were encoded, others refused")
{
    const std::vector<allowance::message> messages{
        allowance::token_request{"front-1", 1U << 31U, {{"acme", 2, 1, 0}, {"b", 0, 0, 700}}},
        allowance::token_answer{7, true, {{2000, 0ms}, {700, 1500ms}}},
        allowance::presence{"front-2", "a1", 500, true, {{"front-3", 900}}}};
    for (const allowance::message& message : messages) {
        const QByteArray good = encode_allowance_message(message);
        CHECK(is_allowance_message(good));
        const auto decoded = decode_allowance_message(good);
        REQUIRE(decoded.has_value());
        CHECK(decoded.value() == message);
        CHECK(decode_allowance_message(good + good).has_error());
        for (qsizetype size = 0; size < good.size(); ++size) {
            CHECK(decode_allowance_message(good.left(size)).has_error());
        }
    }
    CHECK_FALSE(is_allowance_message(encode_peer_message(full_message())));
    CHECK(decode_allowance_message(
              QCborValue{QCborArray{2, "d", 1, QCborArray{"acme", -1, 0, 0}}}.toCbor())
              .has_error());
    CHECK(decode_allowance_message(QCborValue{QCborArray{2, "d", 1, QCborArray{"acme"}}}.toCbor())
              .has_error());
}

TEST_CASE("bytes that are not one message are refused")
{
    const QByteArray good = encode_peer_message(full_message());
    CHECK(decode_peer_message({}).has_error());
    CHECK(decode_peer_message("hello").has_error());
    CHECK(decode_peer_message(good + good).has_error());
    for (qsizetype size = 0; size < good.size(); ++size) {
        CHECK(decode_peer_message(good.left(size)).has_error());
    }
    // An array that holds an array, and so on: as deep as a datagram allows.
    CHECK(decode_peer_message(QByteArray(50'000, '\x81')).has_error());
    // An array that announces 2^62 elements.
    CHECK(decode_peer_message(QByteArray::fromHex("9b4000000000000000")).has_error());
    const auto with = [](const QCborValue& sender, const QCborValue& number,
                         const QCborValue& claims) {
        const QCborArray fields{1, sender, number, false, -1, claims, QCborArray{}, QCborArray{}};
        return decode_peer_message(QCborValue{fields}.toCbor());
    };
    REQUIRE(with("d", 1, QCborArray{}).has_value());
    CHECK(with("", 1, QCborArray{}).has_error());
    CHECK(with("d", -1, QCborArray{}).has_error());
    CHECK(with("d", 1, QCborArray{1}).has_error());
    CHECK(with("d", 1, QCborArray{QCborArray{"ledger", "3", "i-1"}}).has_error());
}

TEST_CASE("a malformed datagram is passed over, and an unlisted sender can be answered")
{
    application();
    QUdpSocket other;
    const std::uint16_t other_port = bind_free_port(other);
    std::vector<promotion::peer_message> received;
    std::vector<allowance::message> allowances;
    peer_link link{{[&](const promotion::peer_message& message) { received.push_back(message); },
                    [&](const allowance::message& message) { allowances.push_back(message); }}};
    QUdpSocket probe;
    const std::uint16_t port = bind_free_port(probe);
    probe.close();
    REQUIRE(link.listen("127.0.0.1", port));
    other.writeDatagram("\xff\xff odd", QHostAddress::LocalHost, port);
    other.writeDatagram(encode_peer_message(full_message()), QHostAddress::LocalHost, port);
    REQUIRE(run_until([&] { return !received.empty(); }));
    CHECK(received.size() == 1);
    CHECK(received[0] == full_message());

    link.send("front-1", full_message());
    link.send("front-2", full_message()); // its address is not known
    REQUIRE(run_until([&] { return other.hasPendingDatagrams(); }));
    CHECK(other_port == other.localPort());

    // Both kinds of messages arrive on the same port.
    const allowance::token_request request{"front-3", 9, {{"acme", 2, 1, 0}}};
    other.writeDatagram(encode_allowance_message(request).chopped(1), QHostAddress::LocalHost,
                        port);
    other.writeDatagram(encode_allowance_message(request), QHostAddress::LocalHost, port);
    REQUIRE(run_until([&] { return !allowances.empty(); }));
    CHECK(allowances == std::vector<allowance::message>{request});
    CHECK(received.size() == 1);
}
