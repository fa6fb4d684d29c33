// Sets up one group on the stand-ins, writes an order through one daemon and
// reads it back through another with its session token.
#include "pg_client.h"

#include <QCoreApplication>
#include <QEventLoop>
#include <QNetworkAccessManager>
#include <QNetworkReply>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <memory>
#include <string>
#include <thread>
#include <vector>

// NOLINTBEGIN: absl's macros define globals
ABSL_FLAG(std::string, platform, "127.0.0.1:8080", "ADDRESS:PORT of the platform stand-in");
ABSL_FLAG(std::string, backends, "", "comma-separated ADDRESS:PORT of the three servers");
ABSL_FLAG(std::string, daemons, "", "comma-separated ADDRESS:PORT of the daemons");
// NOLINTEND

namespace {

using namespace gypsumstep::demo;
using nlohmann::json;

/// Sends one PUT to the platform stand-in.
bool put(const std::string& path, const std::string& body)
{
    QNetworkAccessManager network;
    const QString url = QString::fromStdString("http://" + absl::GetFlag(FLAGS_platform) + path);
    QNetworkRequest request{QUrl{url}};
    request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
    for (int attempt = 0; attempt < max_attempts; ++attempt) {
        QEventLoop loop;
        const std::unique_ptr<QNetworkReply> reply{
            network.put(request, QByteArray::fromStdString(body))};
        QObject::connect(reply.get(), &QNetworkReply::finished, &loop, &QEventLoop::quit);
        loop.exec();
        if (reply->error() == QNetworkReply::NoError) {
            return true;
        }
        std::this_thread::sleep_for(retry_interval);
    }
    return false;
}

json make_configuration(const std::vector<place>& backends)
{
    const std::vector<std::string> domains{"vejle-a", "roskilde-a", "odense-a"};
    json document{{"version", 1}};
    json& servers = document["groups"][group]["servers"];
    document["groups"][group]["service"] = "ledger";
    for (std::size_t i = 0; i < backends.size(); ++i) {
        document["domains"][domains[i]] = {{"region", "denmark"}};
        servers["ledger-1-" + std::string(1, static_cast<char>('a' + i))] = {
            {"address", backends[i].address},
            {"port", backends[i].port},
            {"domain", domains[i]},
            {"slots", 5},
            {"connections", 30}};
    }
    const auto rank = [](int target_ms, double floor) {
        return json{{"target_ms", target_ms},
                    {"objective", 0.99},
                    {"slot_floor", floor},
                    {"queue_limit", 500}};
    };
    document["ranks"] = {
        {"urgent", rank(100, 0.0)}, {"next", rank(500, 0.2)}, {"last", rank(2000, 0.1)}};
    return document;
}

void start_group(const std::vector<place>& backends)
{
    bool granted = true;
    for (const place& each : backends) {
        granted = granted &&
                  connect_when_up(each, "").run("SELECT group_grant(1, 1, 1)").find("granted") !=
                      std::string::npos;
    }
    step(granted, "three backend servers granted term 1");
    const std::string status = client{backends[0], ""}.run("SELECT group_promote(1, 1, 1, '0/0')");
    step(status.find("promoted") != std::string::npos, "the first server is primary of term 1");
    const std::string from =
        "'" + backends[0].address + "', " + std::to_string(backends[0].port + 1);
    for (std::size_t i = 1; i < backends.size(); ++i) {
        client follower{backends[i], ""};
        (void)follower.run("SELECT group_set_lag_ms(300)");
        step(follower.run("SELECT group_follow(1, " + from + ", 'ledger-1-a')").find("following") !=
                 std::string::npos,
             "server " + std::to_string(i + 1) + " replicates from it, 300 ms behind");
    }
}

void write_and_read(const std::vector<place>& daemons)
{
    client writer = connect_when_up(daemons[0], "-c gypsumstep.rank=urgent");
    step(writer.connected(), "a client connected to the first daemon");
    const std::string created = writer.run("CREATE TABLE orders (id TEXT PRIMARY KEY, item TEXT)");
    step(created == "CREATE", "created the table of orders: " + created);
    step(writer.run("SET gypsumstep.request_key = 'order-17'") == "SET",
         "named the write order-17");
    const std::string written =
        writer.run("INSERT INTO orders VALUES ($1, $2)", {"17", "garden gate"});
    step(written == "INSERT 0 1", "wrote order 17, held by a majority: " + written);
    const std::string token = writer.token();
    step(!token.empty(), "the session token is " + token);
    const std::string again =
        writer.run("INSERT INTO orders VALUES ($1, $2)", {"17", "garden gate"});
    step(again.find("already run") != std::string::npos, "sent again, it was not run twice");

    for (std::size_t i = 1; i < daemons.size(); ++i) {
        client reader =
            connect_when_up(daemons[i], "-c gypsumstep.mode=read -c gypsumstep.session=" + token);
        const std::string item = reader.run("SELECT item FROM orders WHERE id = $1", {"17"});
        step(item == "garden gate",
             "read it back at once through daemon " + std::to_string(i + 1) + ": " + item);
    }
    client reader = connect_when_up(daemons[1], "-c gypsumstep.mode=read -c gypsumstep.session=x");
    step(!reader.connected(), "a malformed token is refused");
}

} // namespace

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    QCoreApplication application{argc, argv};
    const auto backends = parse_places(absl::GetFlag(FLAGS_backends));
    const auto daemons = parse_places(absl::GetFlag(FLAGS_daemons));
    start_group(backends);
    step(put("/objects/config-1", make_configuration(backends).dump()) &&
             put("/table/config%2Fhead",
                 json{{"expected_version", 0}, {"value", {{"version", 1}, {"object", "config-1"}}}}
                     .dump()),
         "the platform holds configuration 1");
    write_and_read(daemons);
    return 0;
}
