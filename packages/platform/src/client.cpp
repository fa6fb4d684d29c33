#include "gypsumstep/platform/client.h"

#include "http_call.h"
#include "json_forms.h"

#include <QNetworkProxy>
#include <QTimer>

#include <algorithm>
#include <utility>

namespace gypsumstep::platform {
namespace {

constexpr int conflict_status = 409;

time_point read_clock()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return time_point{std::chrono::duration_cast<duration>(now)};
}

std::chrono::milliseconds to_timer(duration value)
{
    return std::chrono::ceil<std::chrono::milliseconds>(value);
}

/// Calls \p done with the parsed body, or with the error.
template <class T, class Parse>
auto parsed(client::handler<T> done, Parse parse)
{
    return [done = std::move(done), parse](const result<detail::http_answer>& answer) {
        if (!answer) {
            done(answer.error());
            return;
        }
        done(parse(answer.value()));
    };
}

result<write_outcome> to_outcome(const detail::http_answer& answer)
{
    if (answer.status != conflict_status) {
        return write_outcome{true, {}};
    }
    auto row = detail::parse_row(answer.body);
    if (!row) {
        return row.error();
    }
    return write_outcome{false, std::move(row.value())};
}

} // namespace

client::client(client_options options, std::uint64_t seed)
    : m_options{std::move(options)}, m_random{seed}, m_read_budget{m_options.reads},
      m_write_budget{m_options.writes}
{
    m_network.setProxy(QNetworkProxy::NoProxy);
}

client::~client() = default;

void client::get(const std::string& key, handler<table_row> done)
{
    start_read("/table/" + detail::encode_path(key),
               parsed<table_row>(std::move(done), [](const detail::http_answer& answer) {
                   return detail::parse_row(answer.body);
               }));
}

void client::compare_and_set(const table_write& write, handler<write_outcome> done)
{
    start_write("PUT", "/table/" + detail::encode_path(write.key), detail::write_body(write),
                parsed<write_outcome>(std::move(done), to_outcome));
}

void client::transact(const std::vector<table_write>& writes, handler<write_outcome> done)
{
    start_write("POST", "/table", detail::write_body(writes),
                parsed<write_outcome>(std::move(done), to_outcome));
}

void client::get_object(const std::string& name, handler<std::string> done)
{
    start_read("/objects/" + detail::encode_path(name),
               parsed<std::string>(std::move(done),
                                   [](const detail::http_answer& answer) -> result<std::string> {
                                       return answer.body;
                                   }));
}

void client::put_object(const std::string& name, const std::string& bytes,
                        handler<std::string> done)
{
    start_write("PUT", "/objects/" + detail::encode_path(name), bytes,
                parsed<std::string>(
                    std::move(done),
                    [name](const detail::http_answer&) -> result<std::string> { return name; }));
}

void client::list_vms(handler<std::vector<vm_entry>> done)
{
    start_read("/vms", parsed<std::vector<vm_entry>>(std::move(done),
                                                     [](const detail::http_answer& answer) {
                                                         return detail::parse_vms(answer.body);
                                                     }));
}

client_counters client::counters() const
{
    return {m_read_budget.taken(), m_write_budget.taken(),
            m_read_budget.refused() + m_write_budget.refused()};
}

void client::start_read(const std::string& path, answer_handler done)
{
    auto call = std::make_shared<detail::http_call>();
    call->method = "GET";
    call->url = m_options.url + path;
    call->timeout = m_options.read_timeout;
    call->answer_limit = m_options.answer_limit;
    call->attempts_left = m_options.attempts;
    call->done = std::move(done);
    attempt(call);
}

void client::start_write(const char* method, const std::string& path, std::string body,
                         answer_handler done)
{
    auto call = std::make_shared<detail::http_call>();
    call->method = method;
    call->url = m_options.url + path;
    call->body = std::move(body);
    call->is_write = true;
    call->timeout = m_options.write_timeout;
    call->answer_limit = m_options.answer_limit;
    call->attempts_left = m_options.attempts;
    call->done = std::move(done);
    attempt(call);
}

void client::attempt(const call_ptr& call)
{
    budget& spent = call->is_write ? m_write_budget : m_read_budget;
    if (!spent.take(read_clock())) {
        // Through the event loop, so that a handler never runs inside its own request.
        QMetaObject::invokeMethod(
            &m_context,
            [call] {
                call->done(error{error_code::refused, call->url + ": platform budget used up"});
            },
            Qt::QueuedConnection);
        return;
    }
    --call->attempts_left;
    QNetworkReply* reply = detail::send(m_network, *call);
    QTimer::singleShot(to_timer(call->timeout), reply, [reply] { reply->abort(); });
    QObject::connect(reply, &QNetworkReply::downloadProgress, reply,
                     [reply, limit = call->answer_limit](qint64 received, qint64 total) {
                         if (static_cast<std::uint64_t>(std::max(received, total)) > limit) {
                             reply->abort();
                         }
                     });
    QObject::connect(reply, &QNetworkReply::finished, &m_context, [this, reply, call] {
        reply->deleteLater();
        const auto answer = detail::interpret(*reply, *call);
        const bool again = !answer && call->attempts_left > 0 &&
                           (answer.error().code == error_code::unavailable ||
                            answer.error().code == error_code::timeout) &&
                           detail::may_repeat(*call, reply->error());
        if (!again) {
            call->done(answer);
            return;
        }
        const duration wait = backoff(m_options.wait, call->attempt++, m_random);
        QTimer::singleShot(to_timer(wait), &m_context, [this, call] { attempt(call); });
    });
}

} // namespace gypsumstep::platform
