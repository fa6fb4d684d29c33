/// \file
/// A client that sends its statements one after the other.
#pragma once

#include "gypsumstep/adapter/client_codec.h"

#include <QTcpSocket>
#include <QTimer>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace review {

/// The end of an answer.
struct outcome {
    bool done{false};      ///< with DONE
    std::string error;     ///< the code of an ERROR
    bool is_broken{false}; ///< the connection ended, or no answer came in time
    std::size_t rows{0};
    std::size_t bytes{0}; ///< received for this statement
};

class client : public QObject {
public:
    using handler = std::function<void(const outcome&)>;

    client(std::uint16_t port, std::string database) : m_port{port}, m_database{std::move(database)}
    {
    }
    ~client() override { drop(); }

    /// Opens a session; \p on_started receives whether it was started.
    void start(std::function<void(bool)> on_started);

    /// Sends one statement of an open session.
    void send(const std::string& id, const std::string& text, handler on_answer);

    [[nodiscard]] bool is_open() const { return m_open; }
    void drop();

    /// Returns a new statement id.
    static std::string next_id();

private:
    void read();
    void end(const outcome& result);

    std::uint16_t m_port;
    std::string m_database;
    QTcpSocket* m_socket{nullptr};
    gypsumstep::adapter::line_splitter m_splitter;
    bool m_open{false};
    std::function<void(bool)> m_on_started;
    handler m_on_answer;
    outcome m_partial;
    QTimer m_timer;
};

} // namespace review
