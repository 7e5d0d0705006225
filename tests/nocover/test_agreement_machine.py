from hypothesis import HealthCheck, settings

from tests.common.agreement_machine import AgreementMachine

TestAgreement = AgreementMachine.TestCase
TestAgreement.settings = settings(
    max_examples=250,
    stateful_step_count=80,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
