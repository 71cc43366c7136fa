#include "admission/admissionmodule.h"

#include "admission/internal/admissioncontroller.h"
#include "admission/internal/naivecontroller.h"
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

} // namespace lavendertally::admission
