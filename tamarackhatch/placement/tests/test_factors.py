"""The regression of the factors solves its normal equations exactly.

Load: sixteen serving images beside thirty best-effort images, whose factors
are estimated anew four times a second.
"""

import datetime
import random

import pytest

from tamarackhatch.placement import _best_effort_usage
from tamarackhatch.placement import _factors
from tamarackhatch.placement import _least_squares


def _solve_by_elimination(
    matrix: list[list[float]], vector: list[float]
) -> tuple[list[float], list[float]]:
    """Inverts the matrix; the reference for the faster solution."""
    size = len(vector)
    rows = [
        [*row, *(float(i == j) for j in range(size))]
        for i, row in enumerate(matrix)
    ]
    for i in range(size):
        scale = 1 / rows[i][i]
        rows[i] = [value * scale for value in rows[i]]
        for j in range(size):
            if j != i:
                factor = rows[j][i]
                rows[j] = [a - factor * b for a, b in zip(rows[j], rows[i])]
    inverse = [row[size:] for row in rows]
    solution = [sum(a * b for a, b in zip(row, vector)) for row in inverse]
    return solution, [row[i] for i, row in enumerate(inverse)]


@pytest.mark.parametrize("size", [0, 1, 2, 7, 30])
@pytest.mark.parametrize("observations", [0, 1, 40, 2000])
def test_solution_equals_elimination(size: int, observations: int) -> None:
    """Guards against wrong factors with few and with many observations."""
    generator = random.Random(size + observations)
    matrix = [[float(i == j) for j in range(size)] for i in range(size)]
    vector = [0.8] * size
    for _ in range(observations):
        weight = generator.uniform(10, 5000)
        changes = [
            generator.choice([0.0, generator.uniform(-0.2, 0.2)])
            for _ in range(size)
        ]
        for i in range(size):
            vector[i] += weight * changes[i] * generator.uniform(-0.1, 0.1)
            for j in range(size):
                matrix[i][j] += weight * changes[i] * changes[j]
    solution, diagonal = _least_squares.solve_normal_equations(
        [row[: i + 1] for i, row in enumerate(matrix)], vector
    )
    expected_solution, expected_diagonal = _solve_by_elimination(
        matrix, vector
    )
    assert solution == pytest.approx(expected_solution, rel=1e-8, abs=1e-10)
    assert diagonal == pytest.approx(expected_diagonal, rel=1e-8)


def test_order_of_images_does_not_matter() -> None:
    """Guards against sums in the wrong half of the matrix."""
    generator = random.Random(3)
    images = [f"e{number}" for number in range(6)]
    regressions = [_factors.FactorRegression() for _ in range(2)]
    now = datetime.timedelta()
    for _ in range(300):
        now += datetime.timedelta(milliseconds=100)
        changes = {
            image: generator.uniform(-0.1, 0.1)
            for image in generator.sample(images, 3)
        }
        utilisation_change = sum(
            number * 0.3 * changes.get(image, 0.0)
            for number, image in enumerate(images)
        )
        reverse = dict(reversed(changes.items()))
        for regression, order in zip(regressions, (changes, reverse)):
            regression.add_observation(order, utilisation_change, 1e-3, now)
    for number, image in enumerate(images):
        first, second = regressions
        assert first.get_mean(image) == pytest.approx(number * 0.3, abs=0.1)
        assert first.get_mean(image) == pytest.approx(second.get_mean(image))
        assert first.get_deviation(image) == pytest.approx(
            second.get_deviation(image)
        )


@pytest.mark.parametrize(
    "earlier, latest, expected",
    [
        ({}, {}, {}),
        ({"a": 0.3}, {"a": 0.3}, {}),
        ({"a": 0.3}, {"a": 0.304}, {}),
        ({"a": 0.25}, {"a": 0.5}, {"a": 0.25}),
        ({"a": 0.5}, {"b": 0.25}, {"a": -0.5, "b": 0.25}),
        ({"a": 0.004, "b": 0.1}, {"b": 0.1}, {}),
    ],
)
def test_changes_of_shares(
    earlier: dict[str, float],
    latest: dict[str, float],
    expected: dict[str, float],
) -> None:
    """Guards against observations of images that start or end."""
    changes = _best_effort_usage.compare_shares(earlier, latest, 0.005)
    assert changes == expected
