#include "proxy/internal/firsteventestimator.h"

#include <gtest/gtest.h>

using namespace lavendertally;
using namespace lavendertally::proxy;

namespace {

const framework::ServiceId Service("models");
constexpr framework::TokenCount Small{600};
constexpr framework::TokenCount Large{50000};

/// Time of a model engine that reads 140 prompt tokens in a millisecond.
framework::Milliseconds engineTime(framework::TokenCount prompt)
{
    constexpr std::int64_t Overhead = 40;
    constexpr std::int64_t TokensPerMillisecond = 140;
    return framework::Milliseconds(Overhead + prompt.value() / TokensPerMillisecond);
}

} // namespace

TEST(FirstEventEstimatorTest, PromptsOfManySizes_LargeOneIsExpectedToTakeLonger)
{
    FirstEventEstimator estimator;
    for (int round = 0; round < 40; ++round) {
        for (const std::int64_t tokens : {600, 1800, 6600, 20000}) {
            const framework::TokenCount prompt(tokens);
            estimator.observe(Service, prompt, engineTime(prompt));
        }
    }
    EXPECT_NEAR(static_cast<double>(estimator.estimate(Service, Small).value()),
                static_cast<double>(engineTime(Small).value()), 3.0);
    EXPECT_NEAR(static_cast<double>(estimator.estimate(Service, Large).value()),
                static_cast<double>(engineTime(Large).value()), 5.0);
}

TEST(FirstEventEstimatorTest, EngineTurnsSlow_EstimateFollows)
{
    FirstEventEstimator estimator;
    for (int sample = 0; sample < 300; ++sample) {
        estimator.observe(Service, Small, engineTime(Small));
    }
    for (int sample = 0; sample < 300; ++sample) {
        estimator.observe(Service, Small, engineTime(Small) * 4);
    }
    EXPECT_NEAR(static_cast<double>(estimator.estimate(Service, Small).value()),
                static_cast<double>((engineTime(Small) * 4).value()), 3.0);
}

TEST(FirstEventEstimatorTest, LargePromptsHappenedToBeFaster_NoTimeIsNegative)
{
    FirstEventEstimator estimator;
    for (int sample = 0; sample < 20; ++sample) {
        estimator.observe(Service, Small, framework::Milliseconds(200));
        estimator.observe(Service, Large, framework::Milliseconds(20));
    }
    EXPECT_GE(estimator.estimate(Service, Large), framework::Milliseconds(0));
    EXPECT_EQ(estimator.estimate(Service, Large), estimator.estimate(Service, Small));
}

TEST(FirstEventEstimatorTest, NothingMeasured_DefaultIsUsed)
{
    EXPECT_GT(FirstEventEstimator().estimate(Service, Small), framework::Milliseconds(0));
}
