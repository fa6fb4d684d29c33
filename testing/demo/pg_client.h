/// \file
/// A blocking libpq client and command-line places, shared by the demo programs.
#pragma once

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <libpq-fe.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace gypsumstep::demo {

inline constexpr auto retry_interval = std::chrono::milliseconds{50};
inline constexpr int max_attempts = 400;
inline constexpr const char* group = "ledger-1";

/// Where a process listens.
struct place {
    std::string address;
    int port{0};
};

inline place parse_place(const std::string& text)
{
    const std::vector<std::string> parts = absl::StrSplit(text, ':');
    place parsed{parts.front(), 0};
    (void)absl::SimpleAtoi(parts.back(), &parsed.port);
    return parsed;
}

inline std::vector<place> parse_places(const std::string& text)
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
inline void step(bool held, const std::string& what)
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
inline client connect_when_up(const place& where, const std::string& options)
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

} // namespace gypsumstep::demo
