#include "framework/types/ids.h"
#include "framework/types/timepoint.h"
#include "framework/types/units.h"

#include <gtest/gtest.h>

#include <type_traits>

using namespace lavendertally::framework;

TEST(StrongTypes, IdsAndUnitsDoNotConvertIntoEachOther)
{
    static_assert(!std::is_convertible_v<TeamId, HostId>);
    static_assert(!std::is_convertible_v<Bytes, TokenCount>);
    static_assert(!std::is_convertible_v<Milliseconds, TimePoint>);
    static_assert(!std::is_convertible_v<LogOffset, FencingNumber>);
    static_assert(!std::is_convertible_v<int, Milliseconds>);
    EXPECT_EQ(Milliseconds(5) + Milliseconds(7), Milliseconds(12));
}

TEST(TimePointTest, DifferenceOfInstantsIsADuration)
{
    const TimePoint start(100);
    EXPECT_EQ(start + Milliseconds(50) - start, Milliseconds(50));
    EXPECT_LT(start, TimePoint::never());
}
