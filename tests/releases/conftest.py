import pytest
from gateway_with_releases import GatewayWithReleases


@pytest.fixture
def gateway():
    return GatewayWithReleases()
