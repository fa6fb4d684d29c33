// Tests that the logger neither blocks nor buffers without limit when its reader is slow.
#include "line_logger.h"

#include <catch2/catch.hpp>

#include <array>
#include <string>

#include <fcntl.h>
#include <unistd.h>

using gypsumstep::edge::line_logger;

namespace {

/// A pipe whose reader may stop reading.
class slow_reader {
public:
    slow_reader() { REQUIRE(::pipe(m_ends.data()) == 0); }
    ~slow_reader()
    {
        ::close(m_ends[0]);
        ::close(m_ends[1]);
    }
    slow_reader(const slow_reader&) = delete;
    slow_reader& operator=(const slow_reader&) = delete;

    [[nodiscard]] int write_end() const { return m_ends[1]; }

    std::string read_all()
    {
        ::fcntl(m_ends[0], F_SETFL, O_NONBLOCK);
        std::string text;
        std::array<char, 4096> buffer{};
        ssize_t size = 0;
        while ((size = ::read(m_ends[0], buffer.data(), buffer.size())) > 0) {
            text.append(buffer.data(), static_cast<std::size_t>(size));
        }
        return text;
    }

private:
    std::array<int, 2> m_ends{-1, -1};
};

} // namespace

TEST_CASE("when the reader stops reading, lines are dropped and no time is spent waiting")
{
    slow_reader reader;
    line_logger output{reader.write_end()};
    const std::string line(200, 'x');
    // Far more than the pipe and the buffer can hold; a blocking write would never return.
    for (int i = 0; i < 20'000; ++i) {
        output.add(line);
        output.flush();
    }
    CHECK(output.dropped() > 0);
    CHECK(output.buffered() <= 256U << 10U);
}

TEST_CASE("the number of dropped lines is logged once the log is read again")
{
    slow_reader reader;
    line_logger output{reader.write_end()};
    const std::string line(1000, 'x');
    for (int i = 0; i < 1000; ++i) {
        output.add(line);
        output.flush();
    }
    const auto dropped = output.dropped();
    REQUIRE(dropped > 0);
    std::string text;
    const auto drain = [&] {
        for (int i = 0; i < 100 && output.buffered() > 0; ++i) {
            text += reader.read_all();
            output.flush();
        }
        text += reader.read_all();
    };
    drain();
    output.add("after");
    drain();
    CHECK(text.find("\"total\":" + std::to_string(dropped)) != std::string::npos);
    CHECK(text.ends_with("after\n"));
}
