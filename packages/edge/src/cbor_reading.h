/// \file
/// Reads CBOR that another daemon sent, of any types.
#pragma once

#include <QCborArray>
#include <QCborValue>

#include <cstdint>
#include <string>

namespace gypsumstep::edge {

[[nodiscard]] inline QCborValue to_cbor(const std::string& text)
{
    return QString::fromStdString(text);
}

[[nodiscard]] inline QCborValue to_cbor(std::uint64_t number)
{
    return static_cast<qint64>(number);
}

/// Reads the elements of one array in order. Once an element is missing or of another type, the
/// reader has failed and all further values are empty.
class cbor_array_reader {
public:
    explicit cbor_array_reader(const QCborValue& value) : m_failed{!value.isArray()}
    {
        if (!m_failed) {
            m_array = value.toArray();
        }
    }

    QCborValue next()
    {
        if (m_place >= m_array.size()) {
            m_failed = true;
            return {};
        }
        return m_array.at(m_place++);
    }

    std::string text()
    {
        const QCborValue value = next();
        m_failed = m_failed || !value.isString();
        return value.toString().toStdString();
    }

    std::string bytes()
    {
        const QCborValue value = next();
        m_failed = m_failed || !value.isByteArray();
        return value.toByteArray().toStdString();
    }

    std::uint64_t number(std::uint64_t max = INT64_MAX)
    {
        const qint64 number = integer();
        m_failed = m_failed || number < 0 || static_cast<std::uint64_t>(number) > max;
        return m_failed ? 0 : static_cast<std::uint64_t>(number);
    }

    /// A number that may be negative.
    qint64 integer()
    {
        const QCborValue value = next();
        m_failed = m_failed || !value.isInteger();
        return value.toInteger();
    }

    bool boolean()
    {
        const QCborValue value = next();
        m_failed = m_failed || !value.isBool();
        return value.toBool();
    }

    /// Reads an array and calls \p read(value) for each of its elements.
    template <class Read>
    void each(Read&& read)
    {
        const QCborValue value = next();
        m_failed = m_failed || !value.isArray();
        for (const QCborValue element : value.toArray()) {
            read(element);
        }
    }

    [[nodiscard]] bool at_end() const { return m_place >= m_array.size(); }
    [[nodiscard]] bool failed() const { return m_failed; }

private:
    QCborArray m_array;
    qsizetype m_place{0};
    bool m_failed{false};
};

} // namespace gypsumstep::edge
