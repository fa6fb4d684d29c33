#include "platform_server.h"

#include <QHostAddress>
#include <QHttpServerRequest>
#include <QPointer>
#include <QTcpSocket>
#include <QTimer>
#include <QUrl>

#include <chrono>
#include <memory>
#include <string_view>
#include <utility>

namespace gypsumstep::standin {
namespace {

using json = nlohmann::json;
using status_code = QHttpServerResponder::StatusCode;
using method = QHttpServerRequest::Method;

constexpr std::string_view table_prefix = "/table/";
constexpr std::string_view object_prefix = "/objects/";

std::string after_prefix(const std::string& path, std::string_view prefix)
{
    return path.starts_with(prefix) ? path.substr(prefix.size()) : std::string{};
}

std::string path_of(const QHttpServerRequest& request)
{
    return request.url().path(QUrl::FullyDecoded).toStdString();
}

json to_json(const std::string& key, const table_entry& row)
{
    return {{"key", key}, {"version", row.version}, {"value", row.value}};
}

bool is_write_operation(const json& value)
{
    return value.is_object() && value.contains("value") && value.contains("expected_version") &&
           value["expected_version"].is_number_unsigned();
}

} // namespace

platform_server::platform_server()
{
    m_server.setMissingHandler(
        [this](const QHttpServerRequest& request, QHttpServerResponder&& responder) {
            handle(request, std::move(responder));
        });
}

std::uint16_t platform_server::listen(const std::string& address, std::uint16_t port)
{
    return m_server.listen(QHostAddress{QString::fromStdString(address)}, port);
}

void platform_server::handle(const QHttpServerRequest& request, QHttpServerResponder&& responder)
{
    const std::string path = path_of(request);
    if (path == "/faults" || path == "/counters") {
        const answer value = control(path, request.body().toStdString());
        responder.write(QByteArray::fromStdString(value.body),
                        QByteArray::fromStdString(value.type), value.status);
        return;
    }
    respond(dispatch(request), std::move(responder));
}

void platform_server::respond(answer value, QHttpServerResponder&& responder)
{
    const QPointer<QTcpSocket> socket = responder.socket();
    // The responder is not copyable, and a timer's function object must be.
    auto shared = std::make_shared<QHttpServerResponder>(std::move(responder));
    const bool lost = value.is_write && m_faults.lose_answers;
    auto finish = [socket, shared, lost, value = std::move(value)] {
        if (socket.isNull() || !socket->isOpen()) {
            return;
        }
        if (lost) {
            socket->disconnectFromHost();
            return;
        }
        shared->write(QByteArray::fromStdString(value.body), QByteArray::fromStdString(value.type),
                      value.status);
    };
    if (m_faults.delay_ms == 0) {
        finish();
        return;
    }
    QTimer::singleShot(std::chrono::milliseconds{m_faults.delay_ms}, &m_server, std::move(finish));
}

platform_server::answer platform_server::dispatch(const QHttpServerRequest& request)
{
    if (m_faults.outage) {
        return {status_code::ServiceUnavailable, R"({"error":"outage"})"};
    }
    const std::string path = path_of(request);
    if (request.method() == method::Get) {
        return read(path);
    }
    if (request.method() == method::Put || request.method() == method::Post) {
        answer result = write(path, request.body().toStdString());
        result.is_write = true;
        return result;
    }
    return {status_code::MethodNotAllowed, "{}"};
}

platform_server::answer platform_server::control(const std::string& path, const std::string& body)
{
    if (path == "/counters") {
        return {status_code::Ok,
                json{{"reads", m_counters.reads}, {"writes", m_counters.writes}}.dump()};
    }
    const json request = json::parse(body, nullptr, false);
    if (!request.is_object()) {
        return {status_code::BadRequest, R"({"error":"expected an object"})"};
    }
    m_faults.delay_ms = request.value("delay_ms", m_faults.delay_ms);
    m_faults.vm_list_lag_ms = request.value("vm_list_lag_ms", m_faults.vm_list_lag_ms);
    m_faults.outage = request.value("outage", m_faults.outage);
    m_faults.lose_answers = request.value("lose_answers", m_faults.lose_answers);
    return {status_code::Ok, "{}"};
}

platform_server::answer platform_server::read(const std::string& path)
{
    ++m_counters.reads;
    if (path == "/vms") {
        return {status_code::Ok, m_vms.dump()};
    }
    if (const std::string key = after_prefix(path, table_prefix); !key.empty()) {
        const table_entry row = m_store.row(key);
        if (row.version == 0) {
            return {status_code::NotFound, R"({"version":0})"};
        }
        return {status_code::Ok, to_json(key, row).dump()};
    }
    const auto bytes = m_store.object(after_prefix(path, object_prefix));
    if (!bytes) {
        return {status_code::NotFound, R"({"version":0})"};
    }
    return {status_code::Ok, *bytes, "application/octet-stream"};
}

platform_server::answer platform_server::write(const std::string& path, const std::string& body)
{
    ++m_counters.writes;
    if (const std::string name = after_prefix(path, object_prefix); !name.empty()) {
        m_store.put_object(name, body);
        return {status_code::Ok, "{}"};
    }
    json request = json::parse(body, nullptr, false);
    if (path == "/vms") {
        return set_vms(std::move(request));
    }
    if (path == "/table") {
        return write_rows(request);
    }
    const std::string key = after_prefix(path, table_prefix);
    if (key.empty()) {
        return {status_code::NotFound, R"({"error":"no such path"})"};
    }
    return write_row(key, request);
}

platform_server::answer platform_server::write_row(const std::string& key, const json& request)
{
    if (!is_write_operation(request)) {
        return {status_code::BadRequest, R"({"error":"expected_version and value are needed"})"};
    }
    const auto expected = request["expected_version"].get<std::uint64_t>();
    const table_outcome outcome = m_store.transact({{key, expected, request["value"]}});
    if (!outcome.applied()) {
        return {status_code::Conflict, to_json(key, outcome.found).dump()};
    }
    return {status_code::Ok, json{{"version", expected + 1}}.dump()};
}

platform_server::answer platform_server::write_rows(const json& request)
{
    if (!request.is_object() || !request.contains("operations") ||
        !request["operations"].is_array()) {
        return {status_code::BadRequest, R"({"error":"operations are needed"})"};
    }
    std::vector<table_operation> operations;
    for (const auto& item : request["operations"]) {
        if (!is_write_operation(item) || !item.contains("key") || !item["key"].is_string()) {
            return {status_code::BadRequest, R"({"error":"malformed operation"})"};
        }
        operations.push_back({item["key"], item["expected_version"], item["value"]});
    }
    const table_outcome outcome = m_store.transact(operations);
    if (!outcome.applied()) {
        return {status_code::Conflict, to_json(outcome.conflict_key, outcome.found).dump()};
    }
    return {status_code::Ok, "{}"};
}

platform_server::answer platform_server::set_vms(json list)
{
    if (!list.is_array()) {
        return {status_code::BadRequest, R"({"error":"expected a list"})"};
    }
    if (m_faults.vm_list_lag_ms == 0) {
        m_vms = std::move(list);
        return {status_code::Ok, "{}"};
    }
    QTimer::singleShot(std::chrono::milliseconds{m_faults.vm_list_lag_ms}, &m_server,
                       [this, list = std::move(list)] { m_vms = list; });
    return {status_code::Ok, "{}"};
}

} // namespace gypsumstep::standin
