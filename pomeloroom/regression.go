package pomeloroom

import "math"

// featureCount is the number of terms of the linear model: a constant, the output tokens, and the output tokens times the running requests.
const featureCount = 3

// leastSquares holds the normal equations of a weighted linear regression.
type leastSquares struct {
	matrix [featureCount][featureCount]float64
	vector [featureCount]float64
	solved bool
	result [featureCount]float64
}

func (l *leastSquares) add(x [featureCount]float64, y, weight float64) {
	for i := range x {
		for j := range x {
			l.matrix[i][j] += weight * x[i] * x[j]
		}
		l.vector[i] += weight * x[i] * y
	}
	l.solved = false
}

func (l *leastSquares) scale(factor float64) {
	for i := range l.matrix {
		for j := range l.matrix[i] {
			l.matrix[i][j] *= factor
		}
		l.vector[i] *= factor
	}
}

func (l *leastSquares) predict(x [featureCount]float64) float64 {
	if !l.solved {
		l.result, l.solved = l.solve(), true
	}
	sum := 0.0
	for i, c := range l.result {
		sum += c * x[i]
	}
	return sum
}

// solve returns the coefficients by elimination; the ridge keeps the matrix positive definite, so no pivoting is needed.
func (l *leastSquares) solve() [featureCount]float64 {
	m, v := l.matrix, l.vector
	for i := range m {
		m[i][i] += ridge*m[i][i] + math.SmallestNonzeroFloat32
	}
	for i := range m {
		for j := i + 1; j < featureCount; j++ {
			f := m[j][i] / m[i][i]
			for k := i; k < featureCount; k++ {
				m[j][k] -= f * m[i][k]
			}
			v[j] -= f * v[i]
		}
	}
	var c [featureCount]float64
	for i := featureCount - 1; i >= 0; i-- {
		sum := v[i]
		for j := i + 1; j < featureCount; j++ {
			sum -= m[i][j] * c[j]
		}
		c[i] = sum / m[i][i]
	}
	return c
}
