// Sets up one group on the stand-ins, writes an order through one daemon and
// reads it back through another with its session token.
#include <QCoreApplication>
#include <QEventLoop>
#include <QNetworkAccessManager>
#include <QNetworkReply>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <libpq-fe.h>

#include <nlohmann/json.hpp>

#include <chrono>
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

using nlohmann::json;

constexpr auto retry_interval = std::chrono::milliseconds{50};
constexpr int max_attempts = 400;
constexpr const char* group = "ledger-1";

struct place {
    std::string address;
    int port{0};
};

place parse_place(const std::string& text)
{
    const std::vector<std::string> parts = absl::StrSplit(text, ':');
    place parsed{parts.front(), 0};
    (void)absl::SimpleAtoi(parts.back(), &parsed.port);
    return parsed;
}

std::vector<place> parse_places(const std::string& text)
{
    std::vector<place> places;
    const std::vector<std::string> parts = absl::StrSplit(text, ',');
    places.reserve(parts.size());
    for (const std::string& part : parts) {
        places.push_back(parse_place(part));
    }
    return places;
}

/// Prints a step and ends the program if it failed.
void step(bool held, const std::string& what)
{
    std::printf("%s  %s\n", held ? "ok    " : "FAILED", what.c_str());
    std::fflush(stdout);
    if (!held) {
        std::exit(1); // NOLINT: single-threaded here
    }
}

/// A blocking libpq connection.
class client {
public:
    client(const place& where, const std::string& options)
    {
        const std::string info = "hostaddr=" + where.address +
                                 " port=" + std::to_string(where.port) + " dbname=" + group +
                                 " user=smith sslmode=prefer options='" + options + "'";
        m_handle.reset(PQconnectdb(info.c_str()));
    }

    [[nodiscard]] bool connected() const { return PQstatus(m_handle.get()) == CONNECTION_OK; }

    /// First value of the answer, or "error: ..." with its SQLSTATE.
    std::string run(const std::string& sql, const std::vector<const char*>& parameters = {})
    {
        const std::unique_ptr<PGresult, decltype(&PQclear)> answer{
            parameters.empty()
                ? PQexec(m_handle.get(), sql.c_str())
                : PQexecParams(m_handle.get(), sql.c_str(), static_cast<int>(parameters.size()),
                               nullptr, parameters.data(), nullptr, nullptr, 0),
            &PQclear};
        const auto status = PQresultStatus(answer.get());
        if (status != PGRES_COMMAND_OK && status != PGRES_TUPLES_OK) {
            return "error: " + std::string{PQresultErrorMessage(answer.get())};
        }
        return PQntuples(answer.get()) > 0 ? PQgetvalue(answer.get(), 0, 0)
                                           : PQcmdStatus(answer.get());
    }

    [[nodiscard]] std::string token() const
    {
        const char* value = PQparameterStatus(m_handle.get(), "gypsumstep.session");
        return value == nullptr ? "" : value;
    }

private:
    struct deleter {
        void operator()(PGconn* handle) const { PQfinish(handle); }
    };
    std::unique_ptr<PGconn, deleter> m_handle;
};

/// Connects again until the other side accepts.
client connect_when_up(const place& where, const std::string& options)
{
    for (int attempt = 0; attempt < max_attempts; ++attempt) {
        client opened{where, options};
        if (opened.connected()) {
            return opened;
        }
        std::this_thread::sleep_for(retry_interval);
    }
    return client{where, options};
}

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
    std::printf("every step held\n");
    return 0;
}
