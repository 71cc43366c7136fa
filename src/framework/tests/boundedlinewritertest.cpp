#include "framework/internal/boundedlinewriter.h"

#include <gtest/gtest.h>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <string>

using namespace lavendertally::framework;

class BoundedLineWriterTest : public testing::Test
{
protected:
    BoundedLineWriterTest()
    {
        EXPECT_EQ(pipe(m_pipe.data()), 0);
        fcntl(m_pipe[0], F_SETFL, O_NONBLOCK);
    }
    ~BoundedLineWriterTest() override
    {
        close(m_pipe[0]);
        close(m_pipe[1]);
    }
    std::string read()
    {
        std::string text;
        std::array<char, 4096> buffer{};
        for (ssize_t count = 0; (count = ::read(m_pipe[0], buffer.data(), buffer.size())) > 0;) {
            text.append(buffer.data(), static_cast<std::size_t>(count));
        }
        return text;
    }

    std::array<int, 2> m_pipe{};
};

TEST_F(BoundedLineWriterTest, LinesAreWrittenAtOnce)
{
    BoundedLineWriter writer(m_pipe[1], 1000);
    writer.add("a");
    writer.add("b");
    EXPECT_EQ(read(), "a\nb\n");
}

TEST_F(BoundedLineWriterTest, ReaderThatStopsCostsLinesAndNoTime)
{
    BoundedLineWriter writer(m_pipe[1], 10000);
    const std::string line(999, 'x');
    for (int each = 0; each < 200; ++each) {
        writer.add(line);
    }
    EXPECT_GT(writer.dropped(), 0U);
    std::string text = read();
    writer.add("last");
    text += read();
    EXPECT_NE(text.find("log lines dropped"), std::string::npos);
    EXPECT_TRUE(text.ends_with("last\n"));
    // What was written is whole lines only.
    EXPECT_EQ((text.find('x') == std::string::npos), false);
    EXPECT_EQ(text.substr(0, 1000), line + "\n");
}
