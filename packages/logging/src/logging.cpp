#include "gypsumstep/logging/logging.h"

#include "json_line.h"

#include <log4cplus/appender.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/helpers/timehelper.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>

#include <array>
#include <atomic>
#include <fstream>
#include <ostream>
#include <sstream>
#include <utility>

namespace gypsumstep::logging {

namespace {

constexpr std::array<const char*, 6> level_names{"trace", "debug", "info", "warn", "error", "off"};

std::atomic<level> current_threshold{level::off};

/// Keeps log4cplus initialised until the program ends.
log4cplus::Initializer& initialize_library()
{
    static log4cplus::Initializer instance;
    return instance;
}

log4cplus::LogLevel to_library_level(level value)
{
    static constexpr std::array<log4cplus::LogLevel, 6> levels{
        log4cplus::TRACE_LOG_LEVEL, log4cplus::DEBUG_LOG_LEVEL, log4cplus::INFO_LOG_LEVEL,
        log4cplus::WARN_LOG_LEVEL,  log4cplus::ERROR_LOG_LEVEL, log4cplus::OFF_LOG_LEVEL};
    return levels.at(static_cast<std::size_t>(value));
}

const char* library_level_name(log4cplus::LogLevel value)
{
    for (const level candidate : {level::error, level::warn, level::info, level::debug}) {
        if (value >= to_library_level(candidate)) {
            return to_string(candidate);
        }
    }
    return to_string(level::trace);
}

/// Writes a line as JSON: time, level and component, then the message and its fields.
class json_layout final : public log4cplus::Layout {
public:
    void formatAndAppend(log4cplus::tostream& output,
                         const log4cplus::spi::InternalLoggingEvent& event) override
    {
        constexpr bool use_utc = true;
        output << R"({"time":")"
               << log4cplus::helpers::getFormattedTime("%Y-%m-%dT%H:%M:%S.%qZ",
                                                       event.getTimestamp(), use_utc)
               << R"(","level":")" << library_level_name(event.getLogLevel()) << R"(","component":)"
               << detail::json_string(event.getLoggerName()) << ',' << event.getMessage() << "}\n";
    }
};

/// Passes lines to a function; log4cplus calls append() under the appender's lock.
class sink_appender final : public log4cplus::Appender {
public:
    explicit sink_appender(line_sink sink) : m_sink{std::move(sink)} {}
    ~sink_appender() override { destructorImpl(); }
    sink_appender(const sink_appender&) = delete;
    sink_appender& operator=(const sink_appender&) = delete;

    void close() override { closed = true; }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override
    {
        std::ostringstream output;
        layout->formatAndAppend(output, event);
        const std::string line = output.str();
        m_sink(std::string_view{line}.substr(0, line.size() - 1));
    }

private:
    line_sink m_sink;
};

log4cplus::SharedAppenderPtr make_appender(const options& log_options)
{
    constexpr bool to_standard_error = true;
    constexpr bool flush_each_line = true;
    if (log_options.sink) {
        return log4cplus::SharedAppenderPtr{new sink_appender{log_options.sink}};
    }
    if (!log_options.file.empty()) {
        return log4cplus::SharedAppenderPtr{
            new log4cplus::FileAppender{log_options.file, std::ios_base::app, flush_each_line}};
    }
    return log4cplus::SharedAppenderPtr{
        new log4cplus::ConsoleAppender{to_standard_error, flush_each_line}};
}

bool can_append_to(const std::string& file)
{
    return file.empty() || std::ofstream{file, std::ios::app}.good();
}

} // namespace

struct logger::implementation {
    log4cplus::Logger target;
};

const char* to_string(level value)
{
    return level_names.at(static_cast<std::size_t>(value));
}

std::optional<level> parse_level(std::string_view name)
{
    for (std::size_t i = 0; i < level_names.size(); ++i) {
        if (name == level_names.at(i)) {
            return static_cast<level>(i);
        }
    }
    return std::nullopt;
}

result<void> start(const options& log_options)
{
    initialize_library();
    if (!can_append_to(log_options.file)) {
        return error{error_code::invalid_argument, "cannot write to " + log_options.file};
    }
    auto appender = make_appender(log_options);
    appender->setLayout(std::make_unique<json_layout>());
    auto root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(std::move(appender));
    root.setLogLevel(log4cplus::TRACE_LOG_LEVEL);
    set_level(log_options.threshold);
    return boost::outcome_v2::success();
}

void stop()
{
    set_level(level::off);
    initialize_library();
    log4cplus::Logger::getRoot().removeAllAppenders();
}

void set_level(level threshold)
{
    current_threshold.store(threshold, std::memory_order_relaxed);
}

level current_level()
{
    return current_threshold.load(std::memory_order_relaxed);
}

logger::logger(const std::string& component)
{
    initialize_library();
    m_implementation = std::make_shared<const implementation>(
        implementation{log4cplus::Logger::getInstance(component)});
}

void logger::log(level severity, std::string_view message, std::span<const field> fields) const
{
    if (!enabled(severity) || severity == level::off) {
        return;
    }
    m_implementation->target.forcedLog(to_library_level(severity),
                                       detail::line_body(message, fields));
}

} // namespace gypsumstep::logging
