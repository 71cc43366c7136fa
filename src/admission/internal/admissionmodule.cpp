#include "admission/admissionmodule.h"

#include "admission/internal/admissioncontroller.h"
#include "admission/internal/naivecontroller.h"
#include "admission/internal/placeadmission.h"
#include "admission/types/admissionpolicy.h"

namespace lavendertally::admission {

std::unique_ptr<IAdmissionController> AdmissionModule::makeController(const AdmissionLimits &limits,
                                                                      const AdmissionPolicy &policy)
{
    return std::make_unique<AdmissionController>(limits, policy);
}

std::unique_ptr<IAdmissionController>
AdmissionModule::makeNaiveController(const AdmissionLimits &limits)
{
    return std::make_unique<NaiveController>(limits);
}

std::unique_ptr<IPlaceAdmission>
AdmissionModule::makePlaceAdmission(const IServiceCapacity &capacity, framework::IRandom &random,
                                    const PlaceLimits &limits)
{
    return std::make_unique<PlaceAdmission>(capacity, random, limits);
}

} // namespace lavendertally::admission
